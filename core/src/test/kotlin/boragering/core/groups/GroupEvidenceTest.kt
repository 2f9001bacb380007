package boragering.core.groups

import boragering.core.EntryName
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GroupEvidenceTest : DescribeSpec({
    val names = listOf("a", "b")
    val members = names.map { Member(InstanceId(it), Incarnation("1"), "$it:1") }
    val group = Group(GroupId("g"), EntryName("m"), "model", "1", Fence(5), members, InstanceId("a"))
    val ready = InstanceReport(InstanceId("b"), Incarnation("1"), group.id, group.fence)

    fun evidence(follower: InstanceReport?, askedAt: Duration = 8.seconds): GroupEvidence? {
        val reports = mapOf(
            InstanceId("a") to TimedReport(ready.copy(instance = InstanceId("a"), running = 3), 9.seconds),
            InstanceId("b") to follower?.let { TimedReport(it, askedAt) },
        )
        return group.evidence({ reports[it] }, { false })
    }

    describe("a group whose members are all ready for it") {
        it("is whole as of its oldest report, with its leader's load (guards against understated ages)") {
            val whole = evidence(ready)
            whole?.allowsRequests shouldBe true
            whole?.at shouldBe 8.seconds
            whole?.running shouldBe 3
        }
    }

    describe("a group is not whole") {
        listOf(
            "another group" to ready.copy(group = GroupId("other")),
            "no group" to ready.copy(group = null),
            "an older fencing number" to ready.copy(fence = Fence(4)),
            "a newer fencing number" to ready.copy(fence = Fence(6)),
            "another incarnation" to ready.copy(incarnation = Incarnation("2")),
            "loading" to ready.copy(phase = InstancePhase.LOADING),
            "draining" to ready.copy(phase = InstancePhase.DRAINING),
        ).forEach { (what, report) ->
            it("when a member reports $what (guards against serving with a misdirected member)") {
                evidence(report)?.whole shouldBe false
            }
        }

        it("as of the newest report against it (guards against a silent member that hides a misdirected one)") {
            evidence(ready.copy(group = null), askedAt = 10.seconds)?.at shouldBe 10.seconds
        }
    }

    describe("a member that never reported") {
        it("leaves the group without evidence (guards against claims about unknown members)") {
            evidence(null).shouldBeNull()
        }
    }

    describe("a member that is leaving") {
        it("makes the evidence unfavourable by its own report or by the list (guards against new work)") {
            evidence(ready.copy(leaving = true))?.allowsRequests shouldBe false
            val listed = group.evidence({ TimedReport(ready.copy(instance = it), 9.seconds) }, { true })
            listed?.allowsRequests shouldBe false
        }
    }

    describe("a plain service") {
        it("needs no group in its report, but the same incarnation (guards against unknown restarts)") {
            val service = group.copy(model = null, modelVersion = null, members = members.take(1))
            val report = InstanceReport(InstanceId("a"), Incarnation("1"))
            service.evidence({ TimedReport(report, 1.seconds) }, { false })?.allowsRequests shouldBe true
            val restarted = report.copy(incarnation = Incarnation("2"))
            service.evidence({ TimedReport(restarted, 1.seconds) }, { false })?.allowsRequests shouldBe false
        }
    }
})
