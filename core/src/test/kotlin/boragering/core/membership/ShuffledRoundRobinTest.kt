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

    describe("daemons selected round-robin") {
        it("are each selected once before any is selected again (guards against skipped neighbours)") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            List(7) { roundRobin.next(daemons, 1).single() } shouldContainExactlyInAnyOrder daemons
        }

        it("are distinct within one selection, even where a new order begins") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            repeat(20) { roundRobin.next(daemons, 3).toSet() shouldHaveSize 3 }
        }

        it("are only those in the current collection (guards against messages to daemons that ended)") {
            val roundRobin = ShuffledRoundRobin(Random(1))
            roundRobin.next(daemons, 1)
            repeat(6) { roundRobin.next(daemons.drop(1), 1) shouldNotContain daemons.first() }
        }

        it("are none when the collection is empty") {
            ShuffledRoundRobin(Random(1)).next(emptyList(), 3).shouldBeEmpty()
        }
    }
})
