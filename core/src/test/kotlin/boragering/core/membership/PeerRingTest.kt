package boragering.core.membership

import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class PeerRingTest : DescribeSpec({
    fun daemons(count: Int) = List(count) { registration("daemon-$it") }

    fun neighbours(all: List<Registration>) =
        all.associate { self -> self.daemon to PeerRing.neighbours(self.daemon, all).map { it.daemon } }

    fun reached(from: DaemonId, links: Map<DaemonId, List<DaemonId>>, steps: Int): Set<DaemonId> =
        (1..steps).fold(setOf(from)) { known, _ -> known + known.flatMap(links::getValue) }

    describe("neighbours on the ring") {
        it("are none for a daemon that is alone") {
            PeerRing.neighbours(DaemonId("daemon-0"), daemons(1)).shouldBeEmpty()
        }

        it("are all others while there are few") {
            neighbours(daemons(16)).forEach { (self, others) ->
                others shouldContainExactlyInAnyOrder daemons(16).map { it.daemon } - self
            }
        }

        it("grow with the logarithm of the number of daemons (guards against links between all daemons)") {
            neighbours(daemons(430)).values.maxOf { it.size } shouldBeLessThanOrEqual 18
        }

        it("are mutual, so that both sides use one link") {
            val links = neighbours(daemons(77))
            links.forEach { (self, others) ->
                others shouldNotContain self
                others.forEach { links.getValue(it) shouldContain self }
            }
        }

        it("reach every daemon in a few steps (guards against slow dissemination)") {
            val links = neighbours(daemons(430))
            reached(DaemonId("daemon-0"), links, steps = 5).size shouldBe 430
        }
    }
})
