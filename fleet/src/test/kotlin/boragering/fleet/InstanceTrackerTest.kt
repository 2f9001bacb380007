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

    fun book() = InstanceTracker().apply { put(instance, atRevision = 1) }

    describe("what was seen of an instance itself") {
        it("leaves it leaving (guards against requests to an instance that was listed as leaving before an outage)") {
            val book = InstanceTracker()
            book.put(instance.copy(state = InstanceState.LEAVING), atRevision = 1)
            book.observe(instance.start, instance)
            book.list.instances[id]?.state shouldBe InstanceState.LEAVING
        }
    }

    describe("an entry that disappears") {
        it("is gone at once while the list is in reach (guards against requests to an instance that left)") {
            val book = book()
            book.remove(id, atRevision = 2, recovering = false, now = 1.seconds)
            book.list.instances.containsKey(id) shouldBe false
        }

        it("is kept for a while just after the list was out of reach (guards against the loss of all targets)") {
            val book = book()
            book.remove(id, atRevision = 2, recovering = true, now = 1.seconds)
            book.expire(now = 3.seconds) shouldBe false
            book.list.instances.containsKey(id) shouldBe true
            book.expire(now = 1.seconds + 2_300.milliseconds) shouldBe true
            book.list.instances.containsKey(id) shouldBe false
        }

        it("stays when it returns in time (guards against a late removal of a living instance)") {
            val book = book()
            book.remove(id, atRevision = 2, recovering = true, now = 1.seconds)
            book.put(instance, atRevision = 3)
            book.expire(now = 10.seconds) shouldBe false
            book.retainsMissing shouldBe false
        }
    }
})
