package boragering.scenarios

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.toPersistentList

/** The largest number of entry instances today, before the smallest number of targets. */
class NineDaemonsScenarioTest : DescribeSpec({
    val template = DemoPlan.plan
    val (services, engines) = template.pools.partition { it.kind == InstanceKind.SERVICE }
    val plan = template.copy(
        daemons = List(9) { index -> template.daemons[0].copy(name = "entry-${index + 1}") }.toPersistentList(),
        pools = (engines + services.map { it.copy(count = 1) }).toPersistentList(),
    )

    describe("an entry with one target behind nine daemons") {
        it("is served by every daemon, since the balancer sends its callers to any of them") {
            scenario(plan) {
                awaitBooking(booking("first"))
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                daemons.forEachIndexed { index, daemon ->
                    caller(daemon).send(booking("at-$index")).shouldBeInstanceOf<CallOutcome.Complete>()
                    val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 2)
                    caller(daemon).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
                }
            }
        }
    }
})
