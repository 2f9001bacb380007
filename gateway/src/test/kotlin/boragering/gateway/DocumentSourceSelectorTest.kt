package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DocumentSourceSelectorTest : DescribeSpec({
    fun gateways(count: Int, regions: Int = 1, strong: (Int) -> Boolean = { true }) = (0 until count).map { number ->
        Registration(
            daemon = DaemonId("g$number"),
            peerAddress = "p$number:1",
            operatorAddress = "o$number:1",
            callerAddress = "c$number:1",
            availabilityZone = AvailabilityZone("z${number % 14}"),
            region = "r${number % regions}",
            cores = if (strong(number)) 1.5 else 0.36,
        )
    }.toPersistentList()

    class FixedPeers(override val self: Registration, override val live: PersistentList<Registration>) : Peers

    fun sources(all: PersistentList<Registration>, mayPlan: Boolean = false) =
        all.map { DocumentSourceSelector(FixedPeers(it, all)) { mayPlan } }

    val now = 100.seconds
    val recent = now - 300.milliseconds

    describe("the gateways that read the store") {
        it("are three in each region, however many there are (guards against a cost that grows with the gateways)") {
            val all = gateways(count = 430, regions = 4)
            sources(all).count { it.readsStore } shouldBe 12
        }

        it("are all gateways of a small deployment (guards against a relay delay that saves no load)") {
            sources(gateways(count = 9)).all { it.readsStore } shouldBe true
        }

        it("have many cores and are in several zones (guards against small gateways that serve all others)") {
            val all = gateways(count = 95) { it % 6 == 0 }
            val readers = sources(all).withIndex().filter { it.value.readsStore }.map { all[it.index] }
            readers.map { it.cores } shouldContainExactlyInAnyOrder listOf(1.5, 1.5, 1.5)
            readers.map { it.availabilityZone }.distinct() shouldHaveSize 3
        }

        it("include the planner (guards against plans that are based on relayed documents)") {
            sources(gateways(count = 95), mayPlan = true).all { it.readsStore } shouldBe true
        }
    }

    describe("a gateway that does not read the store") {
        val all = gateways(count = 95)
        val follower = { sources(all).first { !it.readsStore } }

        it("selects another reader after a failure, and the first one again later") {
            val sources = follower()
            val first = sources.select(now, recent).shouldBeInstanceOf<DocumentSource.Reader>()
            sources.markFailed(first.daemon, now)
            sources.select(now, confirmedAt = now).shouldBeInstanceOf<DocumentSource.Reader>() shouldNotBe first
            sources.select(now + 10.seconds, recent + 10.seconds) shouldBe first
        }

        it("reads the store after a failure (guards against waiting for a second reader that fails, too)") {
            val sources = follower()
            val first = sources.select(now, recent).shouldBeInstanceOf<DocumentSource.Reader>()
            sources.markFailed(first.daemon, now)
            sources.select(now, recent) shouldBe DocumentSource.Store
        }

        it("reads the store when its documents are outdated (guards against readers that do not confirm theirs)") {
            follower().select(now, confirmedAt = now - 2.seconds) shouldBe DocumentSource.Store
        }

        it("reads the store when all readers have failed") {
            val sources = follower()
            repeat(DocumentSourceSelector.READERS) {
                val selected = sources.select(now, confirmedAt = now)
                sources.markFailed(selected.shouldBeInstanceOf<DocumentSource.Reader>().daemon, now)
            }
            sources.select(now, confirmedAt = now) shouldBe DocumentSource.Store
        }
    }
})
