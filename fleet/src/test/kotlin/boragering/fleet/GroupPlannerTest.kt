package boragering.fleet

import boragering.core.FabricDomain
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class GroupPlannerTest : DescribeSpec({
    val large = TestModels.large.name
    val small = TestModels.small.name

    fun FakePool.memberOfGroup(size: Int): FakeInstance =
        instances.first { member ->
            val group = member.membership?.group
            member.alive && group != null && instances.count { it.alive && it.membership?.group == group } == size
        }

    describe("a pool without groups") {
        it("is divided by the models' shares and keeps spares (guards against small groups in place of large ones)") {
            val pool = FakePool(Random(1))
            pool.run(60.seconds)
            pool.targets() shouldContainExactly mapOf(large to 3, small to 3)
            pool.violations.shouldBeEmpty()
        }

        it("is divided the same when instances are listed one by one (guards against dividing an incomplete pool)") {
            val pool = FakePool(Random(1), domains = 0)
            repeat(24) {
                pool.add(FabricDomain("d${it % 3}"))
                pool.run(0.2.seconds)
            }
            pool.run(90.seconds)
            pool.targets() shouldContainExactly mapOf(large to 3, small to 3)
        }
    }

    describe("a pool whose instances are listed one by one with a pause") {
        val pool = FakePool(Random(8), domains = 0)
        repeat(48) {
            pool.add(FabricDomain("d${it % 6}"))
            pool.run(if (it == 9) 0.8.seconds else 0.1.seconds)
        }
        val staged = pool.instances.count { it.listed().staged.isNotEmpty() || it.orders > 0 }

        it("starts to stage weights meanwhile (guards against an idle weight store)") {
            staged shouldBeGreaterThanOrEqual 6
        }

        it("is divided as a whole (guards against dividing the first instances alone and missing groups later)") {
            pool.run(180.seconds)
            pool.targets() shouldContainExactly mapOf(large to 6, small to 6)
            pool.violations.shouldBeEmpty()
        }

        it("has spare instances for each model (guards against a loss for which there is no spare)") {
            val grouped = pool.instances.groupBy { it.membership?.group }.filterValues { it.size > 1 }
            val spares = pool.instances.filter { it.membership?.group !in grouped }
            spares.flatMap { it.listed().loaded }.toSet() shouldBe setOf(large, small)
        }
    }

    describe("a group that loses a member") {
        it("is formed again with a spare instance after a warm-up (guards against a weight load for each loss)") {
            val pool = FakePool(Random(2))
            pool.run(120.seconds)
            pool.kill(pool.memberOfGroup(size = 4))
            pool.run(10.seconds)
            pool.targets()[large] shouldBe 3
            pool.violations.shouldBeEmpty()
        }

        it("is replaced as soon as the loss is known (guards against a warm-up for each loss)") {
            val pool = FakePool(Random(2))
            pool.run(120.seconds)
            pool.kill(pool.memberOfGroup(size = 4))
            pool.run(FakePool.LISTED_AFTER_DEATH + 1.7.seconds)
            pool.targets()[large] shouldBe 3
        }

        it("is completed by a new instance that has the weights (guards against members that wait for a load)") {
            val pool = FakePool(Random(9), domains = 1)
            pool.run(120.seconds)
            val lost = pool.memberOfGroup(size = 4)
            pool.instances.filter { spare -> spare.membership?.let { GroupEpochs.standby(it.group) } == true }
                .forEach(pool::kill)
            pool.kill(lost)
            pool.run(5.seconds)
            pool.add(FabricDomain("d0"))
            pool.run(3.seconds)
            pool.add(FabricDomain("d0"), staged = large)
            pool.run(6.seconds)
            pool.targets()[large] shouldBe 1
            pool.violations.shouldBeEmpty()
        }

        it("releases its members for other groups if no spare is left (guards against stranded instances)") {
            val pool = FakePool(Random(3), domains = 1)
            pool.run(90.seconds)
            repeat(3) {
                pool.kill(pool.memberOfGroup(size = 4))
                pool.run(40.seconds)
            }
            (pool.targets().values.sum()) shouldBeGreaterThanOrEqual 1
            pool.violations.shouldBeEmpty()
        }
    }

    describe("a head that is disconnected from the list and from the planner") {
        it("has no member of another group when it returns (guards against instances in two groups)") {
            val pool = FakePool(Random(6))
            pool.run(120.seconds)
            val head = pool.instances.first { it.serving }
            pool.isolate(head, 9.seconds)
            pool.run(60.seconds)
            pool.violations.shouldBeEmpty()
            pool.targets().values.sum() shouldBeGreaterThanOrEqual 5
        }
    }

    describe("a group whose head is not listed when a new planner starts") {
        it("is dissolved without violations (guards against taking the second member for the head)") {
            val pool = FakePool(Random(7))
            pool.run(120.seconds)
            val heads = pool.instances.filter { it.serving }
            heads.forEach { pool.isolate(it, 20.seconds) }
            pool.plannerRunning = false
            pool.run(5.seconds)
            pool.plannerRunning = true
            pool.replacePlanner()
            pool.run(60.seconds)
            pool.violations.shouldBeEmpty()
        }
    }

    describe("a member that leaves") {
        it("causes the head to be closed first (guards against members that join others while the head serves)") {
            val pool = FakePool(Random(4))
            pool.run(120.seconds)
            pool.memberOfGroup(size = 4).leaving = true
            pool.run(15.seconds)
            pool.targets()[large] shouldBe 3
            pool.violations.shouldBeEmpty()
        }
    }

    describe("a new planner") {
        it("keeps the serving groups (guards against unnecessary regrouping)") {
            val pool = FakePool(Random(5))
            pool.run(120.seconds)
            val before = pool.instances.map { it.membership }
            pool.replacePlanner()
            pool.run(20.seconds)
            pool.instances.map { it.membership } shouldBe before
        }
    }

    describe("a pool with losses, leaving members, late orders and new planners") {
        (1..40).forEach { seed ->
            it("never violates the invariants between groups and serves again afterwards (seed $seed)") {
                val random = Random(seed)
                val pool = FakePool(random)
                pool.run(40.seconds)
                pool.delayedOrderFraction = 0.3
                repeat(12) {
                    when (random.nextInt(5)) {
                        0 -> pool.kill(pool.instances.filter { it.alive }.random(random))
                        1 -> pool.instances.filter { it.alive }.random(random).leaving = true
                        2 -> {
                            pool.plannerRunning = false
                            pool.run(5.seconds * random.nextDouble())
                            pool.plannerRunning = true
                            pool.replacePlanner()
                        }
                        3 -> pool.isolate(
                            pool.instances.filter { it.alive }.random(random),
                            8.seconds * random.nextDouble()
                        )
                        else -> pool.add(FabricDomain("d${random.nextInt(3)}"))
                    }
                    pool.run(2.seconds)
                }
                pool.delayedOrderFraction = 0.0
                pool.run(120.seconds)
                pool.violations.shouldBeEmpty()
                (pool.targets()[large] ?: 0) shouldBeGreaterThanOrEqual 1
            }
        }
    }
})
