package boragering.scenarios

import boragering.standins.EngineFaults
import boragering.standins.EngineOrder
import boragering.standins.OrderVerdict
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** Faults of engines and of a whole fabric domain; the evidence of each run is checked. */
class EngineFaultScenarioTest : DescribeSpec({
    val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 8)

    describe("a fabric domain that is down") {
        it("has its replicas formed in another domain, and every answer is complete or visibly broken") {
            scenario(DemoPlan.plan.engines { it.copy(count = ROOMY_DOMAIN, sharedProcess = true) }) {
                val view = GroupView(daemons, DemoPlan.MODEL)
                val lost = view.awaitWhole(DemoPlan.REPLICAS).first().domain
                underLoad {
                    engines.filter { it.pool.domain == lost.value }
                        .forEach { it.faults(EngineFaults(unreachable = true)) }
                    awaitTrue("all replicas are whole in the other domain") {
                        val whole = daemons.map { daemon -> view.groups(daemon).filter { it.whole } }
                        whole.all { groups -> groups.size == DemoPlan.REPLICAS && groups.none { it.domain == lost } }
                    }
                }
                daemons.forEach { caller(it).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>() }
            }
        }
    }

    describe("an engine that ignores fencing numbers and obeys a stale order") {
        it("is ordered back into its group, and every answer is complete or visibly broken") {
            val options = mapOf("enforce-fencing" to "false").toPersistentMap()
            val unfenced = DemoPlan.plan.copy(
                entries = DemoPlan.plan.entries
                    .map { if (it.name == DemoPlan.MODEL) it.copy(enforcesFencing = false) else it }
                    .toPersistentList(),
            ).engines { it.copy(options = options) }
            scenario(unfenced) {
                val view = GroupView(daemons, DemoPlan.MODEL)
                val group = view.awaitWhole(DemoPlan.REPLICAS).first().group
                val member = engine(group.members.first { it.instance != group.leader }.instance.value)
                underLoad {
                    val stale = EngineOrder("load", "former", 0, leader = member.id)
                    ControlClient().use { it.post(member.ownAddress, "/orders", stale) }
                    awaitTrue("the member obeyed the stale order, and an order of its group after that") {
                        val obeyed = member.records().flatMap { it.orders }
                            .filter { it.verdict == OrderVerdict.ACCEPTED }.map { it.order.group }
                        "former" in obeyed && obeyed.last() == group.id.value
                    }
                    view.awaitWhole(DemoPlan.REPLICAS)
                }
                member.status().group shouldBe group.id.value
            }
        }
    }

    describe("an engine that sends chunks of another request") {
        it("does not get them to the caller, as a part of a stream or as a whole answer") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                engines.forEach { it.faults(EngineFaults(wrongIdentity = 1)) }
                repeat(WRONG_ANSWERS) {
                    caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
                }
                val dropped = foreignParts(daemons[0])
                dropped shouldBeGreaterThan 0.0

                engines.forEach { it.faults(EngineFaults(wrongIdentity = 1)) }
                val whole = List(WRONG_ANSWERS) { caller(daemons[0]).complete(chat.copy(stream = false)) }
                whole.last().shouldBeInstanceOf<CallOutcome.Complete>()
                foreignParts(daemons[0]) shouldBeGreaterThan dropped
            }
        }
    }

    describe("a stream that the engine breaks") {
        it("never looks complete, and what has arrived is a part of the caller's own answer") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                val whole = caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>().text
                engines.forEach { it.faults(EngineFaults(breakStreams = 1, breakAfterTokens = 3)) }

                val broken = caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Broken>()
                broken.text.toList().shouldNotBeEmpty()
                whole.startsWith(broken.text) shouldBe true
            }
        }
    }
})

/** Enough engines in one domain for all replicas. */
private const val ROOMY_DOMAIN = 8

/** More answers than the engines get faults, so that a correct answer follows. */
private const val WRONG_ANSWERS = 4

/** How many parts of other requests' answers [daemon] says that it has dropped. */
private suspend fun foreignParts(daemon: DaemonHandle): Double = daemon.operators.metrics().lines()
    .filter { it.startsWith("boragering_foreign_parts") }.sumOf { it.substringAfterLast(' ').toDouble() }

private fun DeploymentPlan.engines(change: (InstancePool) -> InstancePool) =
    copy(pools = pools.map { if (it.kind == InstanceKind.ENGINE) change(it) else it }.toPersistentList())
