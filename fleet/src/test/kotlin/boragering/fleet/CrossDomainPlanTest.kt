package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Ends the ids of instances that are loading weights. */
private const val STAGING = "-staging"

class CrossDomainPlanTest : DescribeSpec({
    val large = TestModels.large.name
    val engine = TestModels.engine.copy(crossDomainSlowdown = 4.0)
    val short = mapOf(large to 3.0)

    fun holder(id: String, staged: ModelName? = large) =
        FakeInstance(InstanceId(id), FabricDomain(id.take(2)), 1, staged).listed()

    fun holders(vararg ids: String) = ids.map { holder(it) }

    fun plan(
        free: List<Instance>,
        formations: List<Formation> = emptyList(),
        shortages: Map<ModelName, Double> = short,
        profile: EngineProfile = engine,
        usable: Map<FabricDomain, Int> = emptyMap(),
    ): CrossDomainPlan {
        val listed = free + formations.flatMap { it.members }
        val input = CompositionInput(
            engine = profile,
            free = free.groupBy { it.groupDomain },
            waiting = emptySet(),
            usable = listed.groupingBy { it.groupDomain }.eachCount() + usable,
            assigned = emptyMap(),
            staging = free.filter { it.id.value.endsWith(STAGING) }.associate { it.start to large },
        )
        return CrossDomainPlan(input, formations, PoolState(profile, listed, shortages = shortages))
    }

    fun serving(vararg ids: String): Formation {
        val members = holders(*ids).toPersistentList()
        val formation = Formation(GroupEpoch(GroupId(ids.first()), 1), large, members, Duration.ZERO, adopted = false)
        return formation.also { it.phase = FormationPhase.SERVING }
    }

    fun CrossDomainPlan.members(free: List<Instance>) = compose(free)?.members?.map { it.id.value }

    val scattered = holders("d0a", "d1a", "d1b", "d2a", "d2b", "d2c")

    describe("a model without groups whose callers are rejected") {
        it("gets a group from as few domains as possible (guards against idle holders, and splitting many domains)") {
            plan(scattered).members(scattered) shouldBe listOf("d2a", "d2b", "d2c", "d1a")
        }

        it("gets none while a domain can form one (guards against slow groups in place of usual ones)") {
            val free = scattered + holder("d2d")
            plan(free).members(free).shouldBeNull()
        }

        it("gets one from instances that are kept to replace others (guards against idle holders without any group)") {
            val free = scattered + holder("d2d")
            plan(free, usable = mapOf(FabricDomain("d2") to 16)).members(free) shouldBe
                listOf("d2a", "d2b", "d2c", "d2d")
        }

        it("gets none without the factor (guards against groups of unknown speed)") {
            plan(scattered, profile = TestModels.engine).members(scattered).shouldBeNull()
        }

        it("gets none from instances that a load completes (guards against taking the rest of a usual group)") {
            val free = scattered + holder("d2e$STAGING", staged = null)
            plan(free).members(free).shouldBeNull()
        }
    }

    describe("a model that is not short") {
        it("gets no group across domains if no caller is rejected (guards against slow groups without need)") {
            plan(scattered, shortages = emptyMap()).members(scattered).shouldBeNull()
        }

        it("gets none if its groups serve half of the demand (guards against slow groups beside usual ones)") {
            val formations = listOf(serving("d3a", "d3b", "d3c", "d3d"), serving("d4a", "d4b", "d4c", "d4d"))
            plan(scattered, formations).members(scattered).shouldBeNull()
            plan(scattered, formations.take(1)).members(scattered).shouldNotBeNull()
        }
    }

    describe("a group across domains") {
        val crossing = serving("d0x", "d0y", "d1x", "d1y")
        val usual = serving("d3a", "d3b", "d3c", "d3d")

        it("stays while no other group serves (guards against callers without any group)") {
            plan(holders("d0a", "d0b"), listOf(crossing), emptyMap()).ending().shouldBeNull()
        }

        it("stays beside another group while the model is short (guards against giving up capacity)") {
            plan(holders("d0a"), listOf(crossing, usual)).ending().shouldBeNull()
        }

        it("ends when its model is not short any more (guards against members that stay in slow groups)") {
            val ending = plan(emptyList(), listOf(crossing, usual), emptyMap()).ending()
            ending?.first shouldBe crossing
        }

        it("stays if its members complete a group of a model that needs none (guards against lost capacity)") {
            val small = TestModels.small.name
            val both = crossing.members.map { it.copy(staged = persistentSetOf(large, small)) }.toPersistentList()
            val group = Formation(crossing.group, large, both, Duration.ZERO, adopted = false)
            group.phase = FormationPhase.SERVING
            val free = listOf(holder("d0a", staged = small))
            plan(free, listOf(group, usual)).ending().shouldBeNull()
        }

        it("ends alone if two could complete the same group (guards against the loss of both)") {
            val other = serving("d0v", "d0w", "d2v", "d2w")
            plan(holders("d0a", "d0b"), listOf(crossing, other, usual)).ending()?.first shouldBe crossing
        }

        it("ends when its members complete a group (guards against slow groups in place of usual ones)") {
            val ending = plan(holders("d0a", "d0b"), listOf(crossing, usual)).ending()
            ending?.first shouldBe crossing
        }
    }

    describe("a new planner") {
        it("adopts a group across domains that serves (guards against a second loss of all capacity)") {
            val onlyLarge = engine.copy(models = persistentMapOf(large to TestModels.large))
            val pool = FakePool(Random(1), domains = 0, engine = onlyLarge)
            scattered.forEach { pool.add(checkNotNull(it.domain), staged = large) }
            pool.shortages = short
            pool.run(30.seconds)
            val before = pool.instances.map { it.membership }
            pool.targets()[large] shouldBe 1
            pool.replacePlanner()
            pool.run(6.seconds)
            pool.instances.map { it.membership } shouldBe before
            pool.violations.shouldBeEmpty()
        }
    }
})
