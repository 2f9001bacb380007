package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class StagingPlanTest : DescribeSpec({
    val large = TestModels.large.name
    val small = TestModels.small.name

    fun spare(id: String, staged: ModelName? = null): Instance =
        FakeInstance(InstanceId(id), FabricDomain("d"), 1, staged).listed()

    fun plan(lacking: Set<ModelName>, holders: Map<ModelName, Int> = emptyMap()) =
        StagingPlan(TestModels.engine.models.values, holders, lacking, staging = emptyMap())

    describe("an empty spare instance") {
        it("completes a group of a model that lacks groups (guards against a balance kept at the groups' cost)") {
            val spares = listOf(spare("a", large), spare("b", large), spare("c", large), spare("e"))
            val wish = plan(setOf(large), holders = mapOf(large to 8, small to 0)).wishes(spares).single()
            wish shouldBe StagingWish(spares.last(), large, missing = 1, urgent = true)
        }

        it("takes the scarcest model when no group lacks (guards against a model without spares)") {
            val wish = plan(emptySet(), holders = mapOf(large to 6, small to 1)).wishes(listOf(spare("e"))).single()
            wish.model shouldBe small
            wish.urgent shouldBe false
        }
    }

    describe("a spare instance with weights") {
        it("changes its model when most of a lacking group is there (guards against groups that nothing completes)") {
            val spares = listOf(spare("a", large), spare("b", large), spare("c", large), spare("s", small))
            val wish = plan(setOf(large)).wishes(spares).single()
            wish.instance.id shouldBe InstanceId("s")
            wish.model shouldBe large
        }

        it("keeps its model otherwise (guards against loads that gain nothing)") {
            plan(setOf(large)).wishes(listOf(spare("a", large), spare("s", small), spare("t", small))).shouldBeEmpty()
        }
    }
})
