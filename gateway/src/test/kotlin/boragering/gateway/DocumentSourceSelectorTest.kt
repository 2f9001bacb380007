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

    fun sources(all: PersistentList<Registration>, leads: Boolean = false) =
        all.map { DocumentSourceSelector(FixedPeers(it, all)) { leads } }

    val now = 100.seconds
    val fresh = now - 300.milliseconds

    describe("the gateways that read the store") {
        it("are three in each region, however many there are (guards against a bill that grows with the gateways)") {
            val all = gateways(count = 430, regions = 4)
            sources(all).count { it.reading } shouldBe 12
        }

        it("are all in a small deployment (guards against another step of delay where it saves nothing)") {
            sources(gateways(count = 9)).all { it.reading } shouldBe true
        }

        it("run on the stronger machines, in several zones (guards against small machines that carry the others)") {
            val all = gateways(count = 95) { it % 6 == 0 }
            val readers = sources(all).withIndex().filter { it.value.reading }.map { all[it.index] }
            readers.map { it.cores } shouldContainExactlyInAnyOrder listOf(1.5, 1.5, 1.5)
            readers.map { it.availabilityZone }.distinct() shouldHaveSize 3
        }

        it("include the planner (guards against plans made on what others knew)") {
            sources(gateways(count = 95), leads = true).all { it.reading } shouldBe true
        }
    }

    describe("a gateway that does not read the store") {
        val all = gateways(count = 95)
        val follower = { sources(all).first { !it.reading } }

        it("asks another reader when one failed, and the first one again later") {
            val sources = follower()
            val first = sources.next(now, fresh).shouldBeInstanceOf<DocumentSource.Reader>()
            sources.failed(first.daemon, now)
            sources.next(now, fresh) shouldNotBe first
            sources.next(now + 10.seconds, fresh + 10.seconds) shouldBe first
        }

        it("reads the store when its knowledge is old (guards against readers that all answer without news)") {
            follower().next(now, provenAt = now - 2.seconds) shouldBe DocumentSource.Store
        }

        it("reads the store when all readers failed") {
            val sources = follower()
            repeat(DocumentSourceSelector.READERS) {
                sources.failed(sources.next(now, fresh).shouldBeInstanceOf<DocumentSource.Reader>().daemon, now)
            }
            sources.next(now, fresh) shouldBe DocumentSource.Store
        }
    }
})
