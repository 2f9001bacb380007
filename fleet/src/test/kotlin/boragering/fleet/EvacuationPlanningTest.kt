package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class EvacuationPlanningTest : DescribeSpec({
    val large = TestModels.large.name
    val small = TestModels.small.name
    val zone = AvailabilityZone("d0")
    val other = AvailabilityZone("d1")

    fun FakePool.membershipsIn(zone: AvailabilityZone) = instances.filter { it.zone == zone }.map { it.membership }

    /** Groups of the [model] in [zone], each with an open head. */
    fun groups(zone: AvailabilityZone, model: ModelProfile, count: Int): List<Instance> =
        (1..count).flatMap { number ->
            (0 until model.groupSize).map { rank ->
                val group = GroupEpoch(GroupId("$zone-${model.name}-$number"), 1)
                val state = if (rank == 0) MemberState.OPEN else MemberState.READY
                Instance(
                    start = InstanceStart(InstanceId("$group-$rank"), 1),
                    service = TestModels.service,
                    address = Address("$group-$rank", 1),
                    availabilityZone = zone,
                    state = InstanceState.SERVING,
                    domain = FabricDomain(zone.value),
                    loaded = persistentSetOf(model.name),
                    membership = GroupMembership(group, rank, state),
                )
            }
        }

    describe("an evacuated availability zone") {
        it("keeps its groups untouched and serves with them again (guards against orders and slow reopenings)") {
            val pool = FakePool(Random(1))
            pool.run(120.seconds)
            val before = pool.membershipsIn(zone)
            pool.evacuated = setOf(zone)
            pool.run(40.seconds)
            pool.targets() shouldContainExactly mapOf(large to 2, small to 2)
            pool.membershipsIn(zone) shouldBe before
            pool.evacuated = emptySet()
            pool.targets() shouldContainExactly mapOf(large to 3, small to 3)
            pool.run(20.seconds)
            pool.membershipsIn(zone) shouldBe before
            pool.violations.shouldBeEmpty()
        }

        it("is taken up again if groups were lost and the planner changed (guards against groups left broken)") {
            val pool = FakePool(Random(2))
            pool.run(120.seconds)
            pool.evacuated = setOf(zone)
            pool.run(1.seconds)
            pool.instances.filter { it.zone == zone && it.serving }.forEach(pool::kill)
            pool.replacePlanner()
            pool.run(130.seconds)
            pool.evacuated = emptySet()
            pool.run(20.seconds)
            pool.targets().values.sum() shouldBeGreaterThanOrEqual 5
            pool.violations.shouldBeEmpty()
        }

        it("counts for no model's share (guards against spares for a model that has enough groups left)") {
            val spares = groups(other, TestModels.large, 2).takeLast(5).map {
                val spare = it.copy(start = InstanceStart(InstanceId("spare-${it.id}"), 1), membership = null)
                spare.copy(loaded = persistentSetOf(large), staged = persistentSetOf(small))
            }
            val listed = groups(zone, TestModels.large, 2) + groups(other, TestModels.large, 1) +
                groups(other, TestModels.small, 2) + spares

            fun formed(evacuated: Set<AvailabilityZone>): ModelName? {
                val planner = GroupPlanner(fence = 7)
                val pool = PoolState(TestModels.engine, listed, evacuated = evacuated)
                planner.step(pool, 0.seconds)
                val orders = planner.step(pool, 1.seconds).orders.map { it.order }
                return orders.filterIsInstance<Order.Join>().firstOrNull()?.model
            }
            formed(emptySet()) shouldBe small
            formed(setOf(zone)) shouldBe large
        }
    }

    describe("a pool with groups across availability zones") {
        fun mixedPool(seed: Int): FakePool = FakePool(Random(seed), domains = 0).apply {
            repeat(16) { add(FabricDomain("d"), zone = if (it % 2 == 0) zone else other) }
            run(120.seconds)
        }

        it("forms new groups in the open zone (guards against open instances bound to evacuated ones)") {
            val pool = mixedPool(3)
            pool.table().all.filter { it.memberZones.size > 1 }.shouldNotBeEmpty()
            pool.evacuated = setOf(zone)
            pool.table().all.filter { it.memberZones.size > 1 }.shouldBeEmpty()
            pool.run(30.seconds)
            pool.targets().values.sum() shouldBeGreaterThanOrEqual 2
            pool.evacuated = emptySet()
            pool.run(60.seconds)
            pool.targets().values.sum() shouldBeGreaterThanOrEqual 4
            pool.violations.shouldBeEmpty()
        }

        (1..20).forEach { seed ->
            it("sends no order to an evacuated zone, whatever else fails (guards against stray orders, seed $seed)") {
                val random = Random(seed)
                val pool = mixedPool(seed)
                pool.delayedOrderFraction = 0.2
                repeat(12) {
                    when (random.nextInt(5)) {
                        0 -> pool.kill(pool.instances.filter { it.alive }.random(random))
                        1 -> pool.replacePlanner()
                        2 -> pool.add(FabricDomain("d"), zone = if (random.nextBoolean()) zone else other)
                        else -> pool.evacuated = setOf(zone, other).filterTo(HashSet()) { random.nextInt(3) == 0 }
                    }
                    pool.run(4.seconds)
                }
                pool.evacuated = emptySet()
                pool.delayedOrderFraction = 0.0
                pool.run(120.seconds)
                pool.violations.shouldBeEmpty()
                pool.targets().values.sum() shouldBeGreaterThanOrEqual 1
            }
        }
    }
})
