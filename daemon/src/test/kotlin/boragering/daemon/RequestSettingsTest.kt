package boragering.daemon

import boragering.core.requests.ReplicaSelection
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe

private fun settings(requests: String) = """
    {"name": "entry-1", "availabilityZone": "sapporo", "region": "dounai",
     "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
     "platform": {"store": "http://127.0.0.1:4", "liveList": "http://127.0.0.1:5"},
     "peers": {"secretFile": "peers"}, "operators": {"secretFile": "operators"}$requests}
"""

private fun selection(requests: String) = SettingsReader.read(settings(requests)).getOrNull()?.requests?.selection

class RequestSettingsTest : DescribeSpec({
    describe("the setting requests.selection") {
        // Guards against a changed default in deployments that leave the setting out.
        it("defaults to the power of two choices when it is absent") {
            selection("") shouldBe ReplicaSelection.PowerOfTwoChoices
        }

        // Guards against two names that select the same policy, which would make comparisons of policies meaningless.
        it("accepts the name of each policy") {
            val names = listOf("random", "round-robin", "least-in-flight", "power-of-two")
            names.map { selection(""", "requests": {"selection": "$it"}""") } shouldBe listOf(
                ReplicaSelection.UniformRandom,
                ReplicaSelection.RoundRobin,
                ReplicaSelection.LeastInFlight,
                ReplicaSelection.PowerOfTwoChoices,
            )
        }

        // Guards against silently replacing a misspelt policy by the default.
        it("is reported with its path when its value names no policy") {
            val findings = SettingsReader.read(settings(""", "requests": {"selection": "fastest"}""")).leftOrNull()
            findings.orEmpty().map { it.path } shouldContain "requests.selection"
        }
    }
})
