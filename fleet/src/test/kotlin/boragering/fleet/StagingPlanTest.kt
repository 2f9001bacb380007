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
        it("completes a group of a model that lacks groups (guards against preferring balance to groups)") {
            val spares = listOf(spare("a", large), spare("b", large), spare("c", large), spare("e"))
            val proposal = plan(setOf(large), holders = mapOf(large to 8, small to 0)).proposals(spares).single()
            proposal shouldBe StagingProposal(spares.last(), large, missing = 1, urgent = true)
        }

        it("stages the scarcest model if no model lacks groups (guards against a model without spares)") {
            val proposal = plan(emptySet(), holders = mapOf(large to 6, small to 1)).proposals(listOf(spare("e")))
                .single()
            proposal.model shouldBe small
            proposal.urgent shouldBe false
        }
    }

    describe("a spare instance with weights") {
        it("changes its model if most of a lacking group is available (guards against groups left incomplete)") {
            val spares = listOf(spare("a", large), spare("b", large), spare("c", large), spare("s", small))
            val proposal = plan(setOf(large)).proposals(spares).single()
            proposal.instance.id shouldBe InstanceId("s")
            proposal.model shouldBe large
        }

        it("keeps its model otherwise (guards against useless loads)") {
            plan(setOf(large)).proposals(listOf(spare("a", large), spare("s", small), spare("t", small)))
                .shouldBeEmpty()
        }
    }
})
