package boragering.core.groups

import arrow.core.Either
import arrow.core.right
import boragering.core.Clock
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.InstanceClient
import boragering.core.InstanceId
import boragering.core.Order
import boragering.core.TargetFailure
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrderSenderTest : DescribeSpec({
    val order = InstanceOrder(InstanceId("i"), "i:1", Order.Release(GroupId("g"), Fence(1)))

    describe("an order") {
        it("is not sent more than 2 s after the division was confirmed (guards against a paused planner)") {
            val fixture = OrderFixture()
            runTest { fixture.sender.send(listOf(order), fixture.now - 2.seconds - 1.milliseconds) }
            fixture.sent.shouldBeEmpty()
            runTest { fixture.sender.send(listOf(order), fixture.now - 2.seconds) }
            fixture.sent shouldHaveSize 1
        }

        it("is repeated only after a pause, whatever its fencing number (guards against a flood of orders)") {
            val fixture = OrderFixture()
            runTest { fixture.sender.send(listOf(order), fixture.now) }
            val later = order.copy(order = Order.Release(GroupId("g"), Fence(2)))
            fixture.sender.due(listOf(later)).shouldBeEmpty()
            fixture.sender.due(listOf(order.copy(order = Order.Release(GroupId("h"), Fence(2))))) shouldHaveSize 1
            fixture.now += 3.seconds
            fixture.sender.due(listOf(later)) shouldHaveSize 1
        }
    }
}) {
    private class OrderFixture {
        var now = 1.hours
        val sent = ArrayList<Order>()
        private val clock = object : Clock {
            override fun wallMilliseconds(): Long = 0
            override fun monotonic(): Duration = now
        }
        private val targets = object : InstanceClient {
            override suspend fun report(address: String) = error("not used")
            override suspend fun order(address: String, order: Order): Either<TargetFailure, Unit> {
                sent += order
                return Unit.right()
            }
        }
        val sender = OrderSender(targets, clock) { }
    }
}
