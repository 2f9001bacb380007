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
        // Guards against a changed default in deployments that do not state the setting.
        it("is the choice between two random targets when it is absent") {
            selection("") shouldBe ReplicaSelection.PowerOfTwoChoices
        }

        // Guards against a comparison whose runs all use the same policy.
        it("names each policy") {
            val names = listOf("random", "round-robin", "least-in-flight", "power-of-two")
            names.map { selection(""", "requests": {"selection": "$it"}""") } shouldBe listOf(
                ReplicaSelection.UniformRandom,
                ReplicaSelection.RoundRobin,
                ReplicaSelection.LeastInFlight,
                ReplicaSelection.PowerOfTwoChoices,
            )
        }

        // Guards against a misspelt policy that silently becomes the default.
        it("is reported with its path when no policy has the name") {
            val findings = SettingsReader.read(settings(""", "requests": {"selection": "fastest"}""")).leftOrNull()
            findings.orEmpty().map { it.path } shouldContain "requests.selection"
        }
    }
})
