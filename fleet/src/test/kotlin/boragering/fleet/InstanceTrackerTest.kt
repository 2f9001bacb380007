package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InstanceTrackerTest : DescribeSpec({
    val id = InstanceId("i1")
    val instance = FakeInstance(id, FabricDomain("d"), startedAt = 1).listed()

    fun tracker() = InstanceTracker().apply { put(instance, atRevision = 1) }

    describe("an observation reported by an instance itself") {
        it("keeps the listed state (guards against requests to an instance listed as leaving before an outage)") {
            val tracker = InstanceTracker()
            tracker.put(instance.copy(state = InstanceState.LEAVING), atRevision = 1)
            tracker.observe(instance.start, instance)
            tracker.list.instances[id]?.state shouldBe InstanceState.LEAVING
        }
    }

    describe("an entry that disappears") {
        it("is removed at once while the list is reachable (guards against requests to an instance that left)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, returnDeadline = null)
            tracker.list.instances.containsKey(id) shouldBe false
        }

        it("is retained until the deadline for its return (guards against the loss of all targets)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, returnDeadline = 3_300.milliseconds)
            tracker.expire(now = 3.seconds) shouldBe emptySet()
            tracker.list.instances.containsKey(id) shouldBe true
            tracker.expire(now = 3_300.milliseconds) shouldBe setOf(id)
            tracker.list.instances.containsKey(id) shouldBe false
        }

        it("stays if it returns in time (guards against the late removal of a running instance)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, returnDeadline = 3_300.milliseconds)
            tracker.put(instance, atRevision = 3)
            tracker.expire(now = 10.seconds) shouldBe emptySet()
            tracker.retainsMissing shouldBe false
        }

        it("is removed at once when it disappears again (guards against requests to an instance that then left)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, returnDeadline = 3_300.milliseconds)
            tracker.put(instance, atRevision = 3)
            tracker.remove(id, atRevision = 4, returnDeadline = null)
            tracker.list.instances.containsKey(id) shouldBe false
            tracker.retainsMissing shouldBe false
        }
    }
})
