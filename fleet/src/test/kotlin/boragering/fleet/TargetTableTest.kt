package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

class TargetTableTest : DescribeSpec({
    val profile = ServiceProfile(TestModels.service, connections = 10, engine = TestModels.engine)

    fun member(rank: Int, state: MemberState, epoch: Long = 1) = Instance(
        start = InstanceStart(InstanceId("i$rank"), 1),
        service = TestModels.service,
        address = Address("h$rank", 1),
        availabilityZone = AvailabilityZone("z"),
        state = InstanceState.SERVING,
        domain = FabricDomain("d"),
        loaded = persistentSetOf(TestModels.small.name),
        membership = GroupMembership(GroupEpoch(GroupId("g"), epoch), rank, state),
    )

    fun targets(vararg instances: Instance): List<Target> {
        val listed = persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id })
        return TargetIndex().update(InstanceList(1, listed), mapOf(profile.name to profile)).all
    }

    describe("a group of two") {
        val head = member(0, MemberState.OPEN)
        val leaving = member(1, MemberState.READY).copy(state = InstanceState.LEAVING)

        it("is a target when its head is open and the other member is ready (guards against unused groups)") {
            targets(head, member(1, MemberState.READY)) shouldHaveSize 1
        }

        listOf(
            "misses a member" to arrayOf(head),
            "has a member that is still joining" to arrayOf(head, member(1, MemberState.JOINING)),
            "has a member of another epoch" to arrayOf(head, member(1, MemberState.READY, epoch = 2)),
            "has a leaving member" to arrayOf(head, leaving),
            "has a head that is not open" to arrayOf(member(0, MemberState.READY), member(1, MemberState.READY)),
            "has a closing head" to arrayOf(member(0, MemberState.CLOSING), member(1, MemberState.READY)),
        ).forEach { (what, instances) ->
            it("is not a target when it $what (guards against requests to a group that cannot serve)") {
                targets(*instances).shouldBeEmpty()
            }
        }
    }

    describe("an instance of a plain service") {
        val plain = ServiceProfile(ServiceName("plain"), connections = 10)
        val instance = member(0, MemberState.OPEN).copy(service = plain.name, membership = null)

        fun table(state: InstanceState): TargetTable {
            val listed = persistentMapOf(instance.id to instance.copy(state = state))
            return TargetIndex().update(InstanceList(1, listed), mapOf(plain.name to plain))
        }

        it("is a target unless it is leaving (guards against requests to a leaving instance)") {
            table(InstanceState.SERVING).targets(plain.name, null).size shouldBe 1
            table(InstanceState.LEAVING).targets(plain.name, null).size shouldBe 0
        }
    }
})
