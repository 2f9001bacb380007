package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class CrossDomainChoiceTest : DescribeSpec({
    val zone = AvailabilityZone("z")

    fun candidate(id: String, requests: Int, slowdown: Double = 1.0, gap: Duration? = null): Candidate {
        val start = InstanceStart(InstanceId(id), 1)
        val group = GroupEpoch(GroupId(id), 1)
        val members = persistentListOf(start)
        val target =
            Target(TestModels.service, Address(id, 1), zone, 10, members, null, group, slowdown = slowdown)
        val load = TargetLoad(requests, report = LoadReport(requests, 0, requests, Duration.ZERO))
        return Candidate(target, load, gap?.let { PaceEstimate(it, probeDue = false) })
    }

    fun choose(vararg candidates: Candidate, targetGap: Duration? = null): String? {
        val context = ChoiceContext(1, Duration.ZERO, 300.milliseconds, targetGap = targetGap)
        val choice = TargetChoice(zone, Random(1)).choose(candidates.toList(), context)
        return (choice as? Choice.Chosen)?.candidate?.target?.head?.id?.value
    }

    fun usual(requests: Int) = arrayOf("a", "b", "c").map { candidate(it, requests, gap = 30.milliseconds) }

    describe("a group across domains") {
        it("counts as fuller by its slowdown, unmeasured (guards against learning it from late answers)") {
            choose(candidate("usual", 7), candidate("slow", 2, slowdown = 4.0)) shouldBe "usual"
            choose(candidate("usual", 9), candidate("slow", 2, slowdown = 4.0)) shouldBe "slow"
        }

        it("is not filled like another group (guards against prompts that wait for a slow group)") {
            choose(candidate("slow", 5, slowdown = 4.0)) shouldBe "slow"
            choose(candidate("slow", 6, slowdown = 4.0), candidate("slow2", 7, slowdown = 4.0)) shouldBe "slow"
            choose(candidate("slow", 7, slowdown = 4.0)) shouldBe null
            choose(candidate("usual", 7)) shouldBe "usual"
        }

        it("is used last if its events come too late for the route (guards against late streams beside free slots)") {
            val slow = candidate("slow", 0, slowdown = 4.0)
            choose(*usual(10).toTypedArray(), slow, targetGap = 300.milliseconds) shouldBe "slow"
            choose(*usual(10).toTypedArray(), slow, targetGap = 100.milliseconds) shouldNotBe "slow"
            choose(*usual(12).toTypedArray(), slow, targetGap = 100.milliseconds) shouldBe "slow"
        }
    }

    describe("a target index") {
        fun slowdown(profile: EngineProfile, vararg domains: String): Double? {
            val group = GroupEpoch(GroupId("g"), 1)
            val members = domains.mapIndexed { rank, domain ->
                val state = if (rank == 0) MemberState.OPEN else MemberState.READY
                FakeInstance(InstanceId("i$rank"), FabricDomain(domain), 1).listed().copy(
                    loaded = persistentSetOf(TestModels.small.name),
                    membership = GroupMembership(group, rank, state),
                )
            }
            return GroupView(group, members.toPersistentList()).target(profile)?.slowdown
        }

        it("knows how slow a group is from its members' domains (guards against filling it like others)") {
            val engine = TestModels.engine.copy(crossDomainSlowdown = 4.0)
            slowdown(engine, "d0", "d1") shouldBe 4.0
            slowdown(engine, "d0", "d0") shouldBe 1.0
            slowdown(TestModels.engine, "d0", "d1") shouldBe 1.0
        }
    }
})
