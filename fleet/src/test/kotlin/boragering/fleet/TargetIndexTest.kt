package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.GroupId
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random

/** A list of instances that changes at random. */
private class ChangingList(private val random: Random) {
    private var instances = persistentMapOf<InstanceId, Instance>()
    private var revision = 0L
    val list get() = InstanceList(revision, instances)

    fun change() {
        revision += 1
        val id = InstanceId("i${random.nextInt(INSTANCES)}")
        instances = if (random.nextInt(5) == 0) instances.remove(id) else instances.put(id, instance(id))
    }

    private fun instance(id: InstanceId): Instance {
        val service = if (random.nextInt(6) == 0) PLAIN else TestModels.service
        val group = GroupEpoch(GroupId("g${random.nextInt(3)}"), 1)
        val state = MemberState.entries[random.nextInt(MemberState.entries.size)]
        return Instance(
            start = InstanceStart(id, random.nextLong(2)),
            service = service,
            address = Address(id.value, 1),
            availabilityZone = AvailabilityZone("z"),
            state = if (random.nextInt(8) == 0) InstanceState.LEAVING else InstanceState.SERVING,
            loaded = persistentSetOf(TestModels.small.name),
            membership = GroupMembership(group, random.nextInt(2), state).takeIf { random.nextInt(5) > 0 },
        )
    }

    companion object {
        const val INSTANCES = 8
        val PLAIN = ServiceName("plain")
    }
}

class TargetIndexTest : DescribeSpec({
    val grouped = ServiceProfile(TestModels.service, connections = 10, engine = TestModels.engine)
    val profiles = mapOf(grouped.name to grouped, ChangingList.PLAIN to ServiceProfile(ChangingList.PLAIN, 10))

    describe("incrementally updated targets") {
        it("equal those of a full evaluation after each change (guards against targets that lack a member)") {
            var groupTargets = 0
            repeat(20) { seed ->
                val changing = ChangingList(Random(seed))
                val index = TargetIndex()
                repeat(300) {
                    changing.change()
                    val targets = index.update(changing.list, profiles).all
                    targets shouldContainExactlyInAnyOrder TargetIndex().update(changing.list, profiles).all
                    groupTargets += targets.count { it.group != null }
                }
            }
            groupTargets shouldBeGreaterThan 0
        }

        it("follow changes of service profiles (guards against groups of an outdated size)") {
            val changing = ChangingList(Random(3))
            val index = TargetIndex()
            repeat(200) { changing.change() }
            index.update(changing.list, profiles)
            val changed = mapOf(grouped.name to grouped.copy(engine = null))
            val expected = TargetIndex().update(changing.list, changed).all
            index.update(changing.list, changed).all shouldContainExactlyInAnyOrder expected
        }
    }
})
