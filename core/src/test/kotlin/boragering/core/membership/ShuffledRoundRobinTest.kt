package boragering.core.membership

import boragering.core.DaemonId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import kotlin.random.Random

class ShuffledRoundRobinTest : DescribeSpec({
    val daemons = List(7) { DaemonId("daemon-$it") }

    describe("daemons that take turns") {
        it("each come once before any comes again (guards against neighbours that are left out)") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            List(7) { roundRobin.next(daemons, 1).single() } shouldContainExactlyInAnyOrder daemons
        }

        it("are different ones within one turn, also where a new order begins") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            repeat(20) { roundRobin.next(daemons, 3).toSet() shouldHaveSize 3 }
        }

        it("are only those that are there now (guards against messages to daemons that ended)") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            roundRobin.next(daemons, 1)
            repeat(6) { roundRobin.next(daemons.drop(1), 1) shouldNotContain daemons.first() }
        }

        it("are none when nobody is there") {
            ShuffledRoundRobin(Random(1)).next(emptyList(), 3).shouldBeEmpty()
        }
    }
})
