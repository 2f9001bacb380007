package boragering.gateway

import boragering.adapters.MetricRegistry
import boragering.adapters.SystemClock
import boragering.core.StoreRevision
import boragering.core.StoredValue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import java.lang.ref.WeakReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private const val CHARACTERS = 1_000

class DocumentLimitsTest : DescribeSpec({
    fun document(key: String, revision: Long) =
        StoredValue(key, "$revision".padEnd(CHARACTERS), StoreRevision(revision))

    fun DocumentMirror.write(document: StoredValue) =
        apply(DocumentChanges(persistentListOf(DocumentChange.Written(document)), document.revision))

    it("holds no earlier version of a document (guards against storms that end all gateways at once)") {
        val mirror = DocumentMirror()
        val versions = (1..50L).map { number ->
            document("configuration", number).also(mirror::write).let { WeakReference(it) }
        }
        awaitCollected(versions, atMost = 1)
        mirror["configuration"]?.revision shouldBe StoreRevision(50)
    }

    describe("documents beyond the limit") {
        class Fixture {
            val registry = MetricRegistry()
            val loop = GatewayLoop(SystemClock)
            val ports = GatewayPorts(loop, DecisionLog(SystemClock), GatewayMetrics(registry), Random(1), { 1 })
            val limits = DocumentLimits(documentBytes = 10_000, historyBytes = 10_000, supersededBytes = 10_000)
            val rules = object : DocumentRules {
                override fun areEquivalent(known: StoredValue, written: StoredValue) = false

                override fun rewrittenAfterRestore(key: String) = key == "entry"
            }
            val mirror = DocumentMirror({ Duration.ZERO }, rules, limits, DocumentLimitLog(ports))
            val log = RecordedLog()

            fun fill() = repeat(6) { mirror.write(document("k$it", it + 1L)) }

            fun use(action: Fixture.() -> Unit) = try {
                action()
            } finally {
                log.close()
                loop.close()
            }
        }

        it("are held without their contents (guards against writers that exhaust the heap)") {
            Fixture().use {
                fill()
                mirror.documentBytes shouldBeLessThanOrEqual limits.documentBytes
                mirror["k5"]?.value shouldBe ""
                mirror["k0"]?.value shouldBe document("k0", 1).value
            }
        }

        it("are not told to other gateways (guards against a limit that spreads)") {
            Fixture().use {
                fill()
                mirror.contentsKnown shouldBe false
                mirror.changesSince(StoreRevision(1)).shouldBeNull()
            }
        }

        it("are read again once there is room (guards against a gateway that degrades for good)") {
            Fixture().use {
                fill()
                mirror.changesMissing shouldBe false
                val removed = DocumentChange.Removed("k0", StoreRevision(7))
                mirror.apply(DocumentChanges(persistentListOf(removed), removed.revision))
                mirror.changesMissing shouldBe true
                val read = (1..4).map { document("k$it", it + 1L) }.toPersistentList()
                mirror.replaceAll(DocumentSnapshot(read, StoreRevision(7)))
                mirror["k4"]?.value shouldBe document("k4", 5).value
                mirror.contentsKnown shouldBe true
                mirror.changesMissing shouldBe false
            }
        }

        it("are logged once a second and counted (guards against gateways that degrade unseen)") {
            Fixture().use {
                fill()
                mirror.write(document("k5", 7))
                log.lines("document-dropped") shouldHaveSize 1
                registry.prometheusText() shouldContain "boragering_document_limits_total{kind=\"content\"} 3.0"
            }
        }

        it("leave the history, which is logged and counted (guards against a limit by number only)") {
            Fixture().use {
                repeat(20) {
                    mirror.write(document("k", it * 2 + 1L))
                    val other = "other$it".padEnd(CHARACTERS)
                    val removed = DocumentChange.Removed(other, StoreRevision(it * 2 + 2L))
                    mirror.write(StoredValue(other, "", StoreRevision(it * 2 + 2L)))
                    mirror.apply(DocumentChanges(persistentListOf(removed), StoreRevision(it * 2 + 2L)))
                }
                mirror.historyBytes shouldBeLessThanOrEqual limits.historyBytes
                log.lines("document-history-cut") shouldHaveSize 1
                registry.prometheusText() shouldContain "boragering_document_limits_total{kind=\"history\"}"
            }
        }

        it("are forgotten as superseded versions, the oldest first (guards against entries that are long)") {
            Fixture().use {
                val versions = (1..50L).map { number ->
                    document("entry", number).also(mirror::write).let { WeakReference(it) }
                }
                awaitCollected(versions, atMost = 6)
                log.lines("superseded-documents-cut") shouldHaveSize 1
                registry.prometheusText() shouldContain "boragering_document_limits_total{kind=\"superseded\"}"
            }
        }
    }
})

/** Waits until no more than [atMost] of the [references] are held. */
@Suppress("ExplicitGarbageCollectionCall") // Only a collection shows what is still held.
private fun awaitCollected(references: List<WeakReference<StoredValue>>, atMost: Int) {
    val end = System.nanoTime() + 1.minutes.inWholeNanoseconds
    while (references.count { it.get() != null } > atMost && System.nanoTime() < end) System.gc()
    references.count { it.get() != null } shouldBeLessThanOrEqual atMost
}
