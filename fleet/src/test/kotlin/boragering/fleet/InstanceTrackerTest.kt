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

    describe("what was seen of an instance itself") {
        it("leaves it leaving (guards against requests to an instance that was listed as leaving before an outage)") {
            val tracker = InstanceTracker()
            tracker.put(instance.copy(state = InstanceState.LEAVING), atRevision = 1)
            tracker.observe(instance.start, instance)
            tracker.list.instances[id]?.state shouldBe InstanceState.LEAVING
        }
    }

    describe("an entry that disappears") {
        it("is gone at once while the list is in reach (guards against requests to an instance that left)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, recovering = false, now = 1.seconds)
            tracker.list.instances.containsKey(id) shouldBe false
        }

        it("is kept for a while just after the list was out of reach (guards against the loss of all targets)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, recovering = true, now = 1.seconds)
            tracker.expire(now = 3.seconds) shouldBe false
            tracker.list.instances.containsKey(id) shouldBe true
            tracker.expire(now = 1.seconds + 2_300.milliseconds) shouldBe true
            tracker.list.instances.containsKey(id) shouldBe false
        }

        it("stays when it returns in time (guards against a late removal of a living instance)") {
            val tracker = tracker()
            tracker.remove(id, atRevision = 2, recovering = true, now = 1.seconds)
            tracker.put(instance, atRevision = 3)
            tracker.expire(now = 10.seconds) shouldBe false
            tracker.retainsMissing shouldBe false
        }
    }
})
