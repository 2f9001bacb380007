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

class DocumentReplicaTest : DescribeSpec({
    /** The bound in which the users ask for a change at all gateways. */
    val bound = 2.seconds

    suspend fun ReplicaNetwork.know(key: String, value: String, without: Set<Int> = emptySet()) = eventually(bound) {
        gateways.filterIndexed { index, _ -> index !in without }.forEach { it.value(key) shouldBe value }
    }

    /** Runs 24 gateways until [action] is over; all know the first document then. */
    suspend fun running(action: suspend ReplicaNetwork.(SharedDocuments) -> Unit) = coroutineScope {
        val documents = SharedDocuments()
        documents.write("route", "old")
        ReplicaNetwork(count = 24, documents).use { network ->
            val job: Job = CoroutineScope(Dispatchers.Default).launch { network.run(this, documents) }
            eventually(5.seconds) { network.gateways.forEach { it.value("route") shouldBe "old" } }
            network.action(documents)
            job.cancelAndJoin()
        }
    }

    /** Indexes of the gateways that read the store while [reads] reads are made by the one that reads most. */
    suspend fun ReplicaNetwork.readers(reads: Int): List<Int> {
        val before = gateways.map { it.feed.calls.get() }
        fun since() = gateways.mapIndexed { index, gateway -> gateway.feed.calls.get() - before[index] }
        eventually(10.seconds) { since().max() shouldBeGreaterThan reads }
        val made = since()
        return made.indices.filter { made[it] > reads / 2 }
    }

    describe("the documents of many gateways") {
        it("are read from the store by three of them (guards against calls that grow with the gateways)") {
            running {
                readers(reads = 6) shouldHaveSize DocumentSourceSelector.READERS
                val calls = gateways.sumOf { it.feed.calls.get() }
                documentsRead(calls, gateways.size)
            }
        }

        it("reach all in time (guards against routes and keys that stay in force at some)") {
            running { documents ->
                readers(reads = 6)
                documents.write("route", "new")
                know("route", "new")
            }
        }

        it("reach all in time when a reader falls silent (guards against gateways that wait for a dead reader)") {
            running { documents ->
                val lost = readers(reads = 6).first()
                silent += gateways[lost].self.daemon
                documents.write("route", "new")
                know("route", "new", without = setOf(lost))
            }
        }

        it("reach all in time when all readers fall silent (guards against copies that nobody keeps)") {
            running { documents ->
                val lost = readers(reads = 6)
                lost.forEach { silent += gateways[it].self.daemon }
                documents.write("route", "new")
                know("route", "new", without = lost.toSet())
            }
        }

        it("reach all in time when a reader is cut off from the store (guards against old news taken for fresh)") {
            running { documents ->
                val cut = readers(reads = 6).first()
                gateways[cut].feed.cut = true
                documents.write("route", "new")
                know("route", "new")
            }
        }
    }
})

/** Besides three readers, each gateway reads the store once at its start, and a few times until it has a reader. */
private fun documentsRead(calls: Int, gateways: Int) {
    calls shouldBeLessThanOrEqual gateways * STARTING_CALLS + DocumentSourceSelector.READERS * READER_CALLS
}

private const val STARTING_CALLS = 2
private const val READER_CALLS = 30
