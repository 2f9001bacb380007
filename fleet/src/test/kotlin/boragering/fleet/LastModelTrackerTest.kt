package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentSetOf

class LastModelTrackerTest : DescribeSpec({
    val large = TestModels.large.name
    val small = TestModels.small.name

    fun listed(startedAt: Long, loaded: ModelName? = null): Instance {
        val instance = FakeInstance(InstanceId("a"), FabricDomain("d"), startedAt, small).listed()
        return if (loaded == null) instance else instance.copy(loaded = persistentSetOf(loaded))
    }

    fun LastModelTracker.observe(instance: Instance): Instance =
        recall(PoolState(TestModels.engine, listOf(instance))).instances.single()

    describe("an instance that has left its group") {
        it("keeps its model as loaded (guards against ordering a spare instance to load another model)") {
            val tracker = LastModelTracker()
            tracker.observe(listed(startedAt = 1, loaded = large))
            tracker.observe(listed(startedAt = 1)).loaded shouldBe persistentSetOf(large)
        }

        it("does not keep its model after a restart (guards against members without weights)") {
            val tracker = LastModelTracker()
            tracker.observe(listed(startedAt = 1, loaded = large))
            tracker.observe(listed(startedAt = 2)).loaded shouldBe persistentSetOf()
        }
    }
})
