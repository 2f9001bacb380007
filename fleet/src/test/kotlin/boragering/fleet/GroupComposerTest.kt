package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class GroupComposerTest : DescribeSpec({
    val large = TestModels.large.name
    val small = TestModels.small.name
    val domain = FabricDomain("d0")

    fun spare(id: String, staged: ModelName): Instance = FakeInstance(InstanceId(id), domain, 1, staged).listed()

    fun composer(free: List<Instance>, assigned: Map<ModelName, Int>) = GroupComposer(
        CompositionInput(
            engine = TestModels.engine,
            free = mapOf(domain to free),
            waiting = emptySet(),
            usable = (0 until 6).associate { FabricDomain("d$it") to 8 },
            assigned = assigned,
            staging = emptyMap(),
        ),
    )

    val spares = listOf(spare("a", small), spare("b", small), spare("c", large))

    describe("a model that has fewer groups than its share") {
        it("gets a group of ready instances even if another model lacks more (guards against idle instances)") {
            val composed = composer(spares, mapOf(large to 4, small to 10)).compose().single()
            composed.model shouldBe small
            composed.members.map { it.id.value } shouldBe listOf("a", "b")
        }
    }

    describe("a model that has its share") {
        it("gets no further group if that leaves too few spares (guards against losses without a replacement)") {
            composer(spares, mapOf(large to 24, small to 12)).compose().shouldBeEmpty()
        }
    }
})
