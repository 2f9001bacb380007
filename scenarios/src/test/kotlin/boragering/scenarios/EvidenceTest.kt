package boragering.scenarios

import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.groups.Division
import boragering.core.groups.Group
import boragering.core.groups.Member
import boragering.standins.AnswerText
import boragering.standins.EngineMember
import boragering.standins.EngineOrder
import boragering.standins.EngineRecord
import boragering.standins.OrderRecord
import boragering.standins.OrderVerdict
import boragering.standins.PresenceChange
import boragering.standins.RecordedWrite
import boragering.standins.RefusalRecord
import boragering.standins.RunRecord
import boragering.standins.ServiceRecord
import boragering.standins.ServiceRun
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** A check that misses its violation makes every scenario pass, so each one is shown a violation and a clean record. */
class EvidenceTest : DescribeSpec({
    fun checks(evidence: Evidence) = evidence.violations().map { it.check }

    describe("single run") {
        it("finds a key that ran on two instances, or twice on one across a restart") {
            val instances = listOf(service("s-0", "r1"), service("s-1", "r2"))
            val restarts = listOf(service("s-0", "r1", "a"), service("s-0", "r2", "b"))

            checks(Evidence(services = instances)) shouldBe listOf("single run")
            checks(Evidence(services = restarts)) shouldBe listOf("single run")
        }

        it("finds a key that ran on two engines, which do not see keys") {
            val calls = listOf("r1", "r2").map { call(ChatCall("e", messages, 0, idempotencyKey = "k"), broken(it)) }
            val engines = listOf(engine("e-0", listOf(run("r1"))), engine("e-1", listOf(run("r2"))))

            checks(Evidence(engines, calls = calls)) shouldBe listOf("single run")
        }

        it("accepts one run, and requests without a key") {
            checks(Evidence(services = listOf(service("s-0", "r1")))) shouldBe emptyList()
            checks(Evidence(listOf(engine("e-0", listOf(run("r1"), run("r2")))))) shouldBe emptyList()
        }
    }

    describe("not run") {
        val refused = call(ServiceCall("s", "POST", "/orders"), refused("r1", "not-run"))

        it("finds a request that ran although its caller was told otherwise") {
            val evidence = Evidence(services = listOf(service("s-0", "r1")), calls = listOf(refused))

            checks(evidence) shouldBe listOf("not run")
        }

        it("accepts a request that waited for a slot and was cancelled, and another outcome") {
            val waited = engine("e-0", listOf(run("r1").copy(started = null)))
            val unknown = call(ServiceCall("s", "POST", "/orders"), refused("r1", "unknown"))

            checks(Evidence(listOf(waited), calls = listOf(refused))) shouldBe emptyList()
            checks(Evidence(services = listOf(service("s-0", "r1")), calls = listOf(unknown))) shouldBe emptyList()
        }
    }

    describe("complete answer") {
        val chat = ChatCall("e", messages, 3)
        val text = AnswerText.complete(messages, 3)

        it("finds a text that is cut short and a chunk of another request") {
            val short = call(chat, CallOutcome.Complete("r1", 200, text.dropLast(1), setOf("r1")))
            val foreign = call(chat, CallOutcome.Complete("r1", 200, text, setOf("r1", "r2")))

            checks(Evidence(calls = listOf(short, foreign))) shouldBe listOf("complete answer", "complete answer")
        }

        it("accepts the whole text, and an answer that is visibly broken") {
            val whole = call(chat, CallOutcome.Complete("r1", 200, text, setOf("r1")))

            checks(Evidence(calls = listOf(whole, call(chat, broken("r2"))))) shouldBe emptyList()
        }
    }

    describe("single group") {
        it("finds an instance in two groups of one domain, and in two domains at once") {
            val twice = division("a", "i-1", "i-2").value?.replace("i-2", "i-1")

            checks(Evidence(writes = listOf(division("a", "i-1").copy(value = twice)))) shouldBe listOf("single group")
            checks(Evidence(writes = listOf(division("a", "i-1"), division("b", "i-1")))) shouldBe
                listOf("single group")
        }

        it("accepts an instance that leaves one domain before it joins another") {
            val writes = listOf(division("a", "i-1"), division("a"), division("b", "i-1"))

            checks(Evidence(writes = writes)) shouldBe emptyList()
        }
    }

    describe("whole group") {
        val loaded = listOf(OrderRecord(load, OrderVerdict.ACCEPTED, at = 1_000))

        it("finds a request at a leader that has missed a member for longer than the limit") {
            val presence = listOf(PresenceChange("g", 1, present = false, at = 2_000))
            val late = engine("e-0").copy(presence = presence, refusals = listOf(RefusalRecord("r", 500, false, 5_000)))

            checks(Evidence(listOf(late))) shouldBe listOf("whole group")
        }

        it("finds a request while the driver kept a member from working, whatever the leader saw") {
            val late = engine("e-0", listOf(run("r").copy(accepted = 5_000))).copy(orders = loaded)

            checks(Evidence(listOf(late), absences = listOf(Absence("e-1", 2_000)))) shouldBe listOf("whole group")
        }

        it("accepts requests within the limit, after the member's return, and in the repaired group") {
            val repaired = loaded + OrderRecord(load.copy(members = load.members.take(1)), OrderVerdict.ACCEPTED, 6_000)
            val early = engine("e-0", listOf(run("r").copy(accepted = 4_500))).copy(orders = loaded)
            val late = engine("e-0", listOf(run("r").copy(accepted = 7_000)))
            val absence = Absence("e-1", 2_000)

            checks(Evidence(listOf(early), absences = listOf(absence))) shouldBe emptyList()
            checks(Evidence(listOf(late.copy(orders = repaired)), absences = listOf(absence))) shouldBe emptyList()
            val returned = Evidence(listOf(late.copy(orders = loaded)), absences = listOf(absence.copy(until = 6_000)))
            checks(returned) shouldBe emptyList()
        }
    }
})

private val messages = userMessage("hello")

private val load = EngineOrder(
    kind = "load",
    group = "g",
    fence = 1,
    members = listOf(EngineMember("e-0", "a:1"), EngineMember("e-1", "a:2")),
    leader = "e-0",
)

private fun call(call: Call, outcome: CallOutcome) = CallRecord(call, outcome, 0, 1)

private fun broken(request: String) = CallOutcome.Broken(request, "t0", "no end marker")

private fun refused(request: String, outcome: String) =
    CallOutcome.Refused(request, 503, ProblemDocument(outcome = outcome), null)

private fun service(id: String, request: String, incarnation: String = "a") =
    ServiceRecord(id, incarnation, listOf(ServiceRun(request, "k", "POST", "/orders", started = 0)))

private fun engine(id: String, requests: List<RunRecord> = emptyList()) = EngineRecord(id, "a", requests)

private fun run(request: String) = RunRecord(
    request, null, "g", 1, "g", 1, priority = 1, membersPresent = true, accepted = 0, resumeFrom = 0, started = 0,
)

private fun division(domain: String, vararg instances: String): RecordedWrite {
    val groups = instances.map {
        val member = Member(InstanceId(it), Incarnation("a"), "a:1")
        Group(GroupId("g-$it"), EntryName("e"), "m", "1", Fence(1), listOf(member), member.instance)
    }
    val value = scenarioJson.encodeToString(Division(FabricDomain(domain), 1, groups))
    return RecordedWrite(Division.key(FabricDomain(domain)), 2, value, 0)
}
