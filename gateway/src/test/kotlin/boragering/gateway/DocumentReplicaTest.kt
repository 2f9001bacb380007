package boragering.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class DocumentReplicaTest : DescribeSpec({
    /** Required limit for the time until all gateways know a change. */
    val bound = 2.seconds

    suspend fun ReplicaNetwork.awaitValue(key: String, value: String, except: Set<Int> = emptySet()) =
        eventually(bound) {
            gateways.filterIndexed { index, _ -> index !in except }.forEach { it.value(key) shouldBe value }
        }

    /** Runs [count] gateways while [action] runs, which begins when all gateways know the first document. */
    suspend fun withRunningGateways(
        count: Int = 24,
        action: suspend ReplicaNetwork.(SharedDocuments) -> Unit,
    ) = coroutineScope {
        val documents = SharedDocuments()
        documents.write("route", "old")
        ReplicaNetwork(count, documents).use { network ->
            val job: Job = CoroutineScope(Dispatchers.Default).launch { network.run(this, documents) }
            eventually(5.seconds) { network.gateways.forEach { it.value("route") shouldBe "old" } }
            network.action(documents)
            job.cancelAndJoin()
        }
    }

    suspend fun ReplicaNetwork.awaitCallOfEach(
        indexes: Collection<Int> = gateways.indices.toList(),
        calls: Int = 1,
    ) {
        val callsBefore = indexes.map { gateways[it] }.associateWith { it.feed.calls.get() }
        eventually(10.seconds) {
            callsBefore.forEach { (gateway, before) -> gateway.feed.calls.get() shouldBeGreaterThan before + calls - 1 }
        }
    }

    /** Indexes of the gateways that keep reading the store, measured until one of them has made [reads] reads. */
    suspend fun ReplicaNetwork.readers(reads: Int): List<Int> {
        val callsBefore = gateways.map { it.feed.calls.get() }
        fun callsSince() = gateways.mapIndexed { index, gateway -> gateway.feed.calls.get() - callsBefore[index] }
        eventually(10.seconds) { callsSince().max() shouldBeGreaterThan reads }
        val callsMade = callsSince()
        return callsMade.indices.filter { callsMade[it] > reads / 2 }
    }

    describe("the documents of many gateways") {
        it("are read from the store by three gateways (guards against a store load that grows with the gateways)") {
            withRunningGateways {
                readers(reads = 6) shouldHaveSize DocumentSourceSelector.READERS
                val calls = gateways.sumOf { it.feed.calls.get() }
                checkReadCount(calls, gateways.size)
            }
        }

        it("reach all gateways in time (guards against outdated routes and keys at some gateways)") {
            withRunningGateways { documents ->
                readers(reads = 6)
                documents.write("route", "new")
                awaitValue("route", "new")
            }
        }

        it("reach all gateways in time when a reader fails (guards against gateways that wait for a dead reader)") {
            withRunningGateways { documents ->
                val failed = readers(reads = 6).first()
                isolated += gateways[failed].self.daemon
                documents.write("route", "new")
                awaitValue("route", "new", except = setOf(failed))
            }
        }

        it("reach all gateways in time when all readers fail (guards against replicas that are no longer updated)") {
            withRunningGateways { documents ->
                val failed = readers(reads = 6)
                failed.forEach { isolated += gateways[it].self.daemon }
                documents.write("route", "new")
                awaitValue("route", "new", except = failed.toSet())
            }
        }

        listOf(9, 24).forEach { count ->
            it("reach $count gateways in time after a silent store returns (guards against calls begun before that)") {
                withRunningGateways(count) { documents ->
                    gateways.forEach { it.feed.silent = true }
                    eventually(10.seconds) { gateways.forEach { it.reachesStore() shouldBe false } }
                    awaitCallOfEach()
                    gateways.forEach { it.feed.silent = false }
                    documents.write("route", "new")
                    awaitValue("route", "new")
                }
            }
        }

        listOf(9, 24).forEach { count ->
            it("reach $count gateways in time after the store was restored (guards against positions of another era)") {
                withRunningGateways(count) { documents ->
                    repeat(LOST_WRITES) { documents.write("other", "$it") }
                    documents.write("route", "lost")
                    awaitValue("route", "lost")
                    documents.restore(LOST_WRITES)
                    documents.write("route", "new")
                    awaitValue("route", "new")
                    documents.write("route", "newer")
                    awaitValue("route", "newer")
                }
            }
        }

        /** Writes [value] unheard, and returns when all gateways that read the store have been told that it changed. */
        suspend fun ReplicaNetwork.writeUnheard(documents: SharedDocuments, value: String) {
            documents.changesHidden = true
            documents.write("route", value)
            awaitCallOfEach(readers(reads = 6))
            documents.dropHistory()
            documents.changesHidden = false
        }

        listOf(9, 24).forEach { count ->
            it("reach $count gateways in time once reads succeed again (guards against changes missed for good)") {
                withRunningGateways(count) { documents ->
                    gateways.forEach { it.feed.readsFail = true }
                    writeUnheard(documents, "new")
                    awaitCallOfEach(readers(reads = 6))
                    gateways.forEach { it.feed.readsFail = false }
                    awaitValue("route", "new")
                }
            }

            it("reach $count gateways in time if one of them can read (guards against positions past missed changes)") {
                withRunningGateways(count) { documents ->
                    val able = readers(reads = 6).first()
                    gateways.forEachIndexed { index, gateway -> gateway.feed.readsFail = index != able }
                    writeUnheard(documents, "new")
                    awaitValue("route", "new")
                }
            }

            it("are not read all the time by $count gateways while changes are hidden (guards against load)") {
                withRunningGateways(count) { documents ->
                    val reading = readers(reads = 6)
                    val readsBefore = gateways.sumOf { it.feed.reads.get() }
                    val start = TimeSource.Monotonic.markNow()
                    documents.changesHidden = true
                    awaitCallOfEach(reading, calls = 6)
                    val seconds = start.elapsedNow().inWholeSeconds.toInt() + 1
                    val reads = gateways.sumOf { it.feed.reads.get() } - readsBefore
                    reads shouldBeLessThanOrEqual reading.size * seconds * READS_PER_SECOND
                }
            }
        }

        it("reach all gateways in time when a reader cannot reach the store (guards against stale relayed documents)") {
            withRunningGateways { documents ->
                val unconnected = readers(reads = 6).first()
                gateways[unconnected].feed.unreachable = true
                documents.write("route", "new")
                awaitValue("route", "new")
            }
        }
    }
})

/** Checks that gateways other than the three readers read the store only at their start, until they have a reader. */
private fun checkReadCount(calls: Int, gateways: Int) {
    calls shouldBeLessThanOrEqual gateways * STARTING_CALLS + DocumentSourceSelector.READERS * READER_CALLS
}

private const val STARTING_CALLS = 2

/** More writes than are made during a test. */
private const val LOST_WRITES = 2_000
private const val READER_CALLS = 30

/** Reads of all documents that a gateway may make in a second while changes are missing. */
private const val READS_PER_SECOND = 2
