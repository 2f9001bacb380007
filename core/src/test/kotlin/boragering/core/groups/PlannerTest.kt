package boragering.core.groups

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import boragering.core.Order
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.catalogueOf
import boragering.core.catalogue.modelEntry
import boragering.core.timeline.HybridTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PlannerTest : DescribeSpec({
    describe("forming groups") {
        it("prefers instances that have the weights (guards against needless loads)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 4)
            fixture.reports["i3"] = fixture.report("i3").copy(model = "model-m", modelVersion = "1")
            fixture.plan().next!!.groups.single().members.map { it.instance.value } shouldBe listOf("i3", "i1")
        }

        it("loads a bounded number of groups at once (guards against overloading the weight store)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 9)), instances = 18)
            val plan = fixture.plan()
            plan.next!!.groups shouldHaveSize PlanningSettings().loadsAtOnce
            plan.orders shouldHaveSize 2 * PlanningSettings().loadsAtOnce
        }

        it("does not assign an instance that another domain still lists (guards against a shared instance)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 2)
            val elsewhere = fixture.group("g", 1, "i1", "x").copy(entry = EntryName("other"))
            fixture.others = mapOf(OTHER to Division(OTHER, 1, listOf(elsewhere)))
            fixture.plan().next?.groups.orEmpty().shouldBeEmpty()
            fixture.reports["i1"] = fixture.report("i1").copy(incarnation = Incarnation("restarted"))
            fixture.plan().next!!.groups shouldHaveSize 1
        }
    }

    describe("an instance that was just restarted") {
        it("is assigned only after a later read of the list (guards against assignment by its former domain)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 2)
            fixture.incarnationKnownFor = 2.9.seconds
            fixture.plan().next.shouldBeNull()
            fixture.incarnationKnownFor = 3.seconds
            fixture.plan().next!!.groups shouldHaveSize 1
        }
    }

    describe("a member that has seen a higher fencing number") {
        it("gives its group a new one (guards against orders that are always refused)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 2)
            fixture.division = Division(DOMAIN, 5, listOf(fixture.group("g", 5, "i1", "i2")))
            fixture.reports["i2"] = fixture.report("i2").copy(group = GroupId("x"), fence = Fence(9))
            fixture.plan().next!!.groups.single().fence shouldBe Fence(10)
        }

        it("gives its group a new one even if it only refuses orders (guards against idle members that never load)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 2)
            fixture.division = Division(DOMAIN, 5, listOf(fixture.group("g", 5, "i1", "i2")))
            fixture.refused = persistentMapOf(InstanceId("i2") to GroupKey(GroupId("g"), Fence(4)))
            fixture.plan().next.shouldBeNull()
            fixture.refused = persistentMapOf(InstanceId("i2") to GroupKey(GroupId("g"), Fence(5)))
            (fixture.plan().next!!.groups.single().fence > Fence(5)) shouldBe true
        }
    }

    describe("draining") {
        it("ends only after 5.5 s and 3 s of idle reports (guards against interrupted requests)") {
            val fixture = PlanFixture(catalogueOf(), instances = 2)
            fixture.division = Division(DOMAIN, 5, listOf(fixture.group("g", 5, "i1", "i2", drains = true)))
            fixture.idleFor = 3.seconds
            fixture.drainingFor = 5.4.seconds
            fixture.plan().next.shouldBeNull()
            fixture.drainingFor = 5.5.seconds
            fixture.idleFor = 2.9.seconds
            fixture.plan().next.shouldBeNull()
            fixture.idleFor = 3.seconds
            val plan = fixture.plan()
            plan.next!!.groups.shouldBeEmpty()
            plan.orders.map { it.order } shouldBe List(2) { Order.Release(GroupId("g"), Fence(6)) }
        }
    }

    describe("an older catalogue than the division's") {
        it("changes nothing (guards against reverting an accepted change)") {
            val fixture = PlanFixture(catalogueOf(), instances = 2)
            val group = fixture.group("g", 5, "i1", "i2")
            fixture.division = Division(DOMAIN, 5, listOf(group), catalogueRevision = 2)
            fixture.plan().next.shouldBeNull()
            fixture.division = fixture.division.copy(catalogueRevision = 1)
            fixture.plan().next shouldNotBe null
        }
    }

    describe("members") {
        it("are lost after 5 s of silence, not before (guards against flapping on a short pause)") {
            val fixture = PlanFixture(catalogueOf(modelEntry(replicas = 1)), instances = 3)
            fixture.division = Division(DOMAIN, 5, listOf(fixture.group("g", 5, "i1", "i2")))
            fixture.silent["i1"] = 4.9.seconds
            fixture.plan().next.shouldBeNull()
            fixture.silent["i1"] = 5.seconds
            val repaired = fixture.plan().next!!.groups.single()
            repaired.members.map { it.instance.value } shouldBe listOf("i2", "i3")
            repaired.fence shouldBe Fence(6)
        }
    }

    describe("the distribution") {
        it("spreads over domains and is the same in any order of its inputs (guards against planners that disagree)") {
            val catalogue = catalogueOf(modelEntry(replicas = 30), modelEntry("n", size = 3, replicas = 10))
            val listed = (0 until 200).map { listed("i$it", FabricDomain("f${it % 10}")) }
            val shares = listOf(listed, listed.reversed()).map { order ->
                val distribution = ReplicaDistribution.of(catalogue, FleetInventory.of(catalogue, order, emptyMap()))
                (0 until 10).map { domain ->
                    catalogue.entries.keys.map { distribution.share(it, FabricDomain("f$domain")) }
                }
            }
            shares[0] shouldBe shares[1]
            shares[0].map { it.sum() }.distinct() shouldBe listOf(4)
        }

        it("does not count instances that another planner found unusable (guards against a domain that is down)") {
            val catalogue = catalogueOf(modelEntry(replicas = 1))
            val listed = listOf(listed("i1"), listed("i2"), listed("x1", OTHER), listed("x2", OTHER))
            val down = Division(DOMAIN, 1, unusable = listOf(InstanceId("i1")))
            val distribution =
                ReplicaDistribution.of(catalogue, FleetInventory.of(catalogue, listed, mapOf(DOMAIN to down)))
            distribution.share(EntryName("m"), OTHER) shouldBe 1
        }
    }
}) {
    private class PlanFixture(private val catalogue: Catalogue, instances: Int) {
        private val listed = (1..instances).map { listed("i$it") }.associateBy { it.id }
        val reports = HashMap<String, InstanceReport>()
        val silent = HashMap<String, Duration>()
        var division = Division(DOMAIN, 0)
        var others: Map<FabricDomain, Division> = emptyMap()
        var idleFor = 1.minutes
        var drainingFor = Duration.ZERO
        var incarnationKnownFor = 1.minutes
        var refused = persistentMapOf<InstanceId, GroupKey>()

        fun report(name: String) =
            InstanceReport(InstanceId(name), Incarnation("1"), phase = InstancePhase.IDLE)

        /** A group whose members report that they are ready. */
        fun group(id: String, fence: Long, vararg members: String, drains: Boolean = false): Group {
            members.forEach {
                reports[it] = report(it).copy(group = GroupId(id), fence = Fence(fence), phase = InstancePhase.READY)
            }
            return Group(
                GroupId(id),
                EntryName("m"),
                "model-m",
                "1",
                Fence(fence),
                members.map { Member(InstanceId(it), Incarnation("1"), "$it:1") },
                InstanceId(members.first()),
                if (drains) GroupPhase.Draining("test", 0) else GroupPhase.Active,
            )
        }

        fun plan(): Plan {
            val fleet = FleetInventory.of(catalogue, listed.values, others + (DOMAIN to division))
            val observations = listed.keys.associateWith { id ->
                val age = silent[id.value] ?: Duration.ZERO
                InstanceObservation(
                    reports[id.value] ?: report(id.value),
                    age,
                    idleFor = idleFor,
                    incarnationKnownFor = incarnationKnownFor,
                )
            }
            return plan(
                PlanningInput(
                    catalogue = catalogue,
                    division = division,
                    listed = listed.toPersistentMap(),
                    fleet = fleet,
                    distribution = ReplicaDistribution.of(catalogue, fleet),
                    observations = observations.toPersistentMap(),
                    drainingFor = division.groups.associate { it.id to drainingFor }.toPersistentMap(),
                    surplusFor = persistentMapOf(),
                    recentLoadFailures = persistentSetOf(),
                    refused = refused,
                    pendingEvents = persistentListOf(),
                    stamp = HybridTime(0, 0, DaemonId("d1")),
                    settings = PlanningSettings(),
                ),
            )
        }
    }

    private companion object {
        val DOMAIN = FabricDomain("f1")
        val OTHER = FabricDomain("f2")

        fun listed(name: String, domain: FabricDomain = DOMAIN) =
            ListedInstance(InstanceId(name), "$name:1", "gpu", domain, AvailabilityZone("z"), ListedState.LIVE)
    }
}
