package boragering.core.groups

import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Order
import boragering.core.catalogue.catalogueOf
import boragering.core.catalogue.modelEntry
import boragering.core.catalogue.serviceEntry
import boragering.core.membership.isPlannerFor
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DomainControllerTest : DescribeSpec({
    describe("groups of engines") {
        it("become whole (guards against orders that are never sent)") {
            servingTest(perDomain = 5) { simulation, daemon ->
                simulation.groups().flatMap { it.members }.distinctBy { it.instance } shouldHaveSize 4
            }
        }

        it("are repaired with a spare instance when a member is lost (guards against idle survivors)") {
            servingTest(perDomain = 5) { simulation, daemon ->
                val before = simulation.groups().first()
                simulation.follower(before).reachable = false
                delay(MAX_EXPOSURE)
                daemon.candidates().map { it.group } shouldBe simulation.groups().drop(1).map { it.id }
                simulation.await("repaired", 15.seconds) { daemon.candidates().size == 2 }
                val after = simulation.groups().first { it.id == before.id }
                (after.fence > before.fence) shouldBe true
                after.leader shouldBe before.leader
            }
        }

        it("are dissolved to complete others without spares (guards against stranded instances)") {
            servingTest(perDomain = 4) { simulation, daemon ->
                simulation.groups().forEach { simulation.follower(it).reachable = false }
                delay(MAX_EXPOSURE)
                daemon.candidates().shouldBeEmpty()
                simulation.await("one whole group", 15.seconds) { daemon.candidates().size == 1 }
                simulation.groups() shouldHaveSize 1
                daemon.controller.findings().map { it.entry }.distinct() shouldBe listOf(EntryName("m"))
            }
        }

        it("get a restarted member back under a new fencing number (guards against stale membership)") {
            servingTest(perDomain = 4) { simulation, daemon ->
                val before = simulation.groups().first()
                simulation.follower(before).restart()
                simulation.await("not a candidate", MAX_EXPOSURE) { daemon.candidates().none { it.group == before.id } }
                simulation.await("repaired", 10.seconds) { daemon.candidates().size == 2 }
                simulation.groups().first { it.id == before.id }.fence shouldNotBe before.fence
            }
        }

        it("recover from a late order to an engine that ignores fencing (guards against split groups)") {
            servingTest(perDomain = 4) { simulation, daemon ->
                val group = simulation.groups().first()
                val engine = simulation.follower(group).also { it.enforcesFencing = false }
                engine.take(Order.Load(GroupId("old"), Fence(0), "x", "1", emptyList(), engine.id))
                simulation.await("not a candidate", MAX_EXPOSURE) { daemon.candidates().none { it.group == group.id } }
                simulation.await("whole again", 10.seconds) { daemon.candidates().any { it.group == group.id } }
                engine.report().fence shouldBe group.fence
            }
        }

        it("are replaced before they drain when the version changes (guards against downtime)") {
            servingTest(perDomain = 6) { simulation, daemon ->
                simulation.catalogue = catalogueOf(modelEntry(version = "2"))
                simulation.await("only the new version") {
                    daemon.candidates().size.also { it shouldNotBe 0 } == 2 &&
                        simulation.groups().all { it.modelVersion == "2" && it.phase == GroupPhase.Active }
                }
            }
        }

        it("move to another domain when theirs is down (guards against counting dead instances as spare)") {
            servingTest(domains = 2, perDomain = 4) { simulation, daemon ->
                simulation.groups().map { it.id.value.substringAfter('.').take(2) }.toSet() shouldBe setOf("f1", "f2")
                simulation.engines.values.filter { it.domain == "f1" }.forEach { it.reachable = false }
                simulation.await("two whole groups in f2") {
                    daemon.candidates().size == 2 && simulation.division("f2")?.groups?.size == 2
                }
                simulation.division("f1")?.groups.orEmpty().shouldBeEmpty()
            }
        }

        it("are replaced one by one without spares (guards against a version change that never completes)") {
            servingTest(perDomain = 4) { simulation, daemon ->
                simulation.catalogue = catalogueOf(modelEntry(version = "2"))
                simulation.await("only the new version") {
                    daemon.candidates().size.also { it shouldNotBe 0 } == 2 &&
                        simulation.groups().all { it.modelVersion == "2" && it.phase == GroupPhase.Active }
                }
            }
        }

        it("are tried again when a member does not load (guards against groups that never become whole)") {
            runTest {
                val simulation = groupSimulation(domains = 1, perDomain = 3)
                simulation.catalogue = catalogueOf(modelEntry(replicas = 1))
                simulation.engines.getValue("i1-2:1").loads = false
                val daemon = simulation.daemon("d1")
                simulation.await("a whole group", LOAD_LIMIT) { daemon.candidates().size == 1 }
                simulation.groups().single().members.map { it.instance.value }.toSet() shouldBe setOf("i1-1", "i1-3")
            }
        }
    }

    describe("draining") {
        it("keeps a group whose leader reports work (guards against interrupted requests)") {
            servingTest(perDomain = 4) { simulation, daemon ->
                simulation.engines.values.forEach { it.running = 1 }
                simulation.catalogue = catalogueOf(modelEntry(replicas = 1))
                simulation.await("one candidate", 15.seconds) { daemon.candidates().size == 1 }
                delay(LONG_WAIT)
                simulation.groups() shouldHaveSize 2
                simulation.engines.values.flatMap { it.orders }.filterIsInstance<Order.Release>().shouldBeEmpty()
                simulation.engines.values.forEach { it.running = 0 }
                simulation.await("removed and released", 10.seconds) {
                    simulation.groups().size == 1 && simulation.engines.values.count { it.report().group == null } == 2
                }
            }
        }

        listOf<Pair<String, (SimulatedEngine) -> Unit>>(
            "the live list" to { it.listedLeaving = true },
            "its own report" to { it.leaving = true },
        ).forEach { (sign, leave) ->
            it("begins when $sign says that a member leaves (guards against new work for a leaving target)") {
                servingTest(perDomain = 6) { simulation, daemon ->
                    val group = simulation.groups().first()
                    leave(simulation.follower(group))
                    delay(LEAVING_LIMIT)
                    daemon.candidates().map { it.group }.contains(group.id) shouldBe false
                    simulation.await("replaced", 10.seconds) { daemon.candidates().size == 2 }
                }
            }
        }
    }

    describe("a holder that is not the planner") {
        it("ignores late summaries from a stalled link (guards against late evidence)") {
            runTest {
                val simulation = groupSimulation(domains = 1, perDomain = 4)
                val (planner, holder) = simulation.plannerAndHolder()
                holder.reaches = { false }
                simulation.await("two whole groups") { holder.candidates().size == 2 }
                planner.stall = LONG_WAIT
                simulation.engines.values.first().reachable = false
                delay(MAX_EXPOSURE)
                holder.candidates().shouldBeEmpty()
                repeat(LONG_STEPS) {
                    delay(GroupSimulation.STEP)
                    holder.candidates().shouldBeEmpty()
                }
            }
        }

        it("polls members itself when the planner is cut off (guards against outages after the loss of a planner)") {
            runTest {
                val simulation = groupSimulation(domains = 1, perDomain = 4)
                val (planner, holder) = simulation.plannerAndHolder()
                simulation.await("two whole groups") { holder.candidates().size == 2 }
                planner.reaches = { false }
                planner.stall = LONG_WAIT
                // After five seconds the planner considers all members lost. The store is made unavailable as well, so
                // that the planner cannot dissolve their groups.
                simulation.store.fault = { StoreFault.NOT_APPLIED }
                repeat(LONG_STEPS) {
                    delay(GroupSimulation.STEP)
                    holder.candidates() shouldHaveSize 2
                }
            }
        }
    }

    describe("a daemon that was paused") {
        it("serves nothing until it has polled, and loses no member (guards against mistaking its pause for silence)") {
            servingTest(perDomain = 5) { simulation, daemon ->
                val before = simulation.groups()
                simulation.paused = LONG_WAIT
                daemon.candidates().shouldBeEmpty()
                simulation.await("two whole groups again", MAX_EXPOSURE) { daemon.candidates().size == 2 }
                delay(LONG_WAIT)
                simulation.groups() shouldBe before
            }
        }
    }

    describe("without the store") {
        it("keeps serving, changes nothing and sends no orders (guards against unconfirmed orders)") {
            servingTest(perDomain = 5) { simulation, daemon ->
                delay(LONG_WAIT)
                simulation.store.fault = { StoreFault.NOT_APPLIED }
                val orders = simulation.engines.values.sumOf { it.orders.size }
                val lost = simulation.follower(simulation.groups().first())
                lost.reachable = false
                delay(LONG_WAIT)
                daemon.candidates() shouldHaveSize 1
                simulation.engines.values.sumOf { it.orders.size } shouldBe orders
                simulation.store.fault = { StoreFault.NONE }
                simulation.await("repaired", 15.seconds) { daemon.candidates().size == 2 }
            }
        }
    }

    describe("instances of a plain service") {
        it("are groups of one that drain when they leave (guards against orders to services)") {
            runTest {
                val simulation = GroupSimulation(this, catalogueOf(serviceEntry()))
                repeat(3) { simulation.engine("s$it", "f$it", pool = "service") }
                val daemon = simulation.daemon("d1")
                simulation.await("three instances") { daemon.candidates("s").size == 3 }
                simulation.engines.getValue("s1:1").leaving = true
                simulation.await("two instances", LEAVING_LIMIT) { daemon.candidates("s").size == 2 }
                simulation.await("removed", 15.seconds) { simulation.groups().size == 2 }
                simulation.engines.values.flatMap { it.orders }.shouldBeEmpty()
            }
        }
    }

    describe("a fault in the planning of one domain") {
        it("does not stop the other domains (guards against one division that stops a daemon)") {
            runTest {
                val simulation = groupSimulation(domains = 2, perDomain = 4)
                simulation.store.failingKey = Division.key(FabricDomain("f1"))
                val daemon = simulation.daemon("d1")
                simulation.await("a whole group in f2") { daemon.candidates().size == 1 }
                daemon.events.map { it.kind }.contains("planning-failed") shouldBe true
            }
        }
    }

    describe("a lagging live list") {
        it("causes no repair when it omits an instance briefly (guards against needless repairs)") {
            servingTest(perDomain = 5) { simulation, daemon ->
                val before = simulation.groups()
                simulation.listed = { it.id.value != before.first().leader.value }
                delay(MAX_EXPOSURE)
                simulation.listed = { true }
                delay(LONG_WAIT)
                simulation.groups() shouldBe before
            }
        }
    }

    describe("a lasting shortage") {
        it("is recorded in the division's events and among the findings (guards against silent shortages)") {
            runTest {
                val simulation = groupSimulation(domains = 1, perDomain = 3)
                val daemon = simulation.daemon("d1")
                simulation.await("an event") {
                    simulation.division("f1")?.events.orEmpty().any { it.text.startsWith("cannot be repaired") }
                }
                daemon.controller.findings().shouldNotBeEmpty()
                simulation.engine("i1-4", "f1")
                simulation.await("two whole groups") { daemon.candidates().size == 2 }
                delay(LONG_WAIT)
                daemon.controller.findings().shouldBeEmpty()
                simulation.division("f1")?.events.orEmpty().map { it.text.substringBefore(':') } shouldContainAll
                    listOf("no longer the case")
            }
        }
    }
}) {
    private companion object {
        /** The evidence limit plus the time until a poll shows the change. */
        val MAX_EXPOSURE = 2.6.seconds
        val LEAVING_LIMIT = 3.seconds
        val LONG_WAIT = 20.seconds
        val LOAD_LIMIT = 620.seconds
        val LONG_STEPS = (LONG_WAIT / 50.milliseconds).toInt()
    }
}

/** Runs [test] in a simulation whose only daemon has two whole groups. */
private fun servingTest(
    domains: Int = 1,
    perDomain: Int,
    test: suspend (GroupSimulation, SimulatedDaemon) -> Unit,
) = runTest {
    val simulation = groupSimulation(domains, perDomain)
    val daemon = simulation.daemon("d1")
    simulation.await("two whole groups") { daemon.candidates().size == 2 }
    test(simulation, daemon)
}

private fun GroupSimulation.plannerAndHolder(): Pair<SimulatedDaemon, SimulatedDaemon> {
    val both = listOf(daemon("d1", "d2"), daemon("d2", "d1"))
    return both.first { it.peers.isPlannerFor(FabricDomain("f1")) } to
        both.first { !it.peers.isPlannerFor(FabricDomain("f1")) }
}
