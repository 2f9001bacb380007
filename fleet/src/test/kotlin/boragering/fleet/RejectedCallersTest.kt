package boragering.fleet

import boragering.core.OrganisationName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RejectedCallersTest : DescribeSpec({
    val early = CallerAttempt.Premature(100.milliseconds)

    fun request(organisation: String, caller: CallerAttempt) =
        AdmissionRequest(OrganisationName(organisation), 1, 1.seconds, 10.seconds, 18.seconds, caller)

    val rejected = RejectedCallers()
    rejected.add(request("a", CallerAttempt.First))

    it("takes a late caller for a new one (guards against a late connection taken for a repetition)") {
        rejected.correct(request("b", early), gateways = 1).caller shouldBe CallerAttempt.First
    }

    it("recognises a rejected caller whose deadline differs by transit (guards against a reward for repeating)") {
        val repeated = request("a", early).copy(deadline = 17_999.milliseconds)
        rejected.correct(repeated, gateways = 1).caller shouldBe early
    }

    it("changes nothing beside other gateways, which may have rejected the caller (guards against the same)") {
        rejected.correct(request("b", early), gateways = 2).caller shouldBe early
    }
})
