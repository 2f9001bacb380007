package boragering.core.groups

import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.GroupSummary
import boragering.core.InstanceId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The health of one group under one fencing number. [at] is a time by this daemon's monotonic clock. It is a lower
 * bound of the time of the newest member report that speaks against new requests, or of the oldest member report if
 * none does.
 */
data class GroupEvidence(
    val group: GroupId,
    val fence: Fence,
    val whole: Boolean,
    val leaving: Boolean,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val at: Duration,
) {
    /** Whether this evidence allows new requests, if it is recent enough. */
    val allowsRequests: Boolean get() = whole && !leaving

    /** Builds the summary for the holders of the group at [now]. */
    fun summary(domain: FabricDomain, now: Duration): GroupSummary =
        GroupSummary(
            domain,
            group,
            fence,
            whole,
            leaving,
            running,
            queued,
            slots,
            (now - at).inWholeMilliseconds + 1,
        )
}

/** Returns the evidence in a summary that was built after [echoAt], a time by this daemon's monotonic clock. */
internal fun GroupSummary.evidence(echoAt: Duration): GroupEvidence =
    GroupEvidence(
        group,
        fence,
        whole,
        leaving,
        running,
        queued,
        slots,
        at = echoAt - ageMilliseconds.coerceAtLeast(0).milliseconds,
    )

/** A report and the time, by the monotonic clock, at which the instance was asked for it. */
data class TimedReport(val report: InstanceReport, val askedAt: Duration)

/** Whether [report] shows that [member] is ready for exactly this group and fencing number. */
internal fun Group.isMemberReady(member: Member, report: InstanceReport): Boolean {
    val ordered = model == null || (report.group == id && report.fence == fence)
    return ordered && report.incarnation == member.incarnation && report.phase == InstancePhase.READY
}

/**
 * The evidence that the members' newest reports give for this group; `null` until every member has reported once.
 * [leaving] returns whether another source, such as the live list, says that an instance is leaving.
 */
internal fun Group.evidence(reports: (InstanceId) -> TimedReport?, leaving: (InstanceId) -> Boolean): GroupEvidence? {
    val memberReports = members.map { it to (reports(it.instance) ?: return null) }
    val contradicting = memberReports.filter { (member, timed) ->
        !isMemberReady(member, timed.report) || timed.report.leaving || leaving(member.instance)
    }
    val leader = memberReports.first { (member, _) -> member.instance == leader }.second.report
    return GroupEvidence(
        group = id,
        fence = fence,
        whole = memberReports.all { (member, timed) -> isMemberReady(member, timed.report) },
        leaving = memberReports.any { (member, timed) -> timed.report.leaving || leaving(member.instance) } ||
            phase is GroupPhase.Draining,
        running = leader.running,
        queued = leader.queued,
        slots = leader.slots,
        at = contradicting.maxOfOrNull { it.second.askedAt } ?: memberReports.minOf { it.second.askedAt },
    )
}
