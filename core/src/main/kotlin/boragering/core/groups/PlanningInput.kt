package boragering.core.groups

import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.InstanceReport
import boragering.core.Order
import boragering.core.catalogue.Catalogue
import boragering.core.timeline.HybridTime
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of planning. [lossLimit] and [absenceLimit] are how long a member may be silent, or missing from the live
 * list, before it is lost. A group drains for at least [drainTime], and until its leader was idle for [idleTime]. A
 * member that is not ready within [loadLimit] is treated as lost. [surplusDelay] is how long a surplus must last before
 * a group is drained for it, so that divisions that are still on their way between daemons do not count. [settleTime]
 * is how long an incarnation must be known before it is assigned: an instance that restarts in another domain reports
 * its new incarnation while the lagging live list still gives its old domain, and two planners would assign it.
 */
data class PlanningSettings(
    val loadsAtOnce: Int = DEFAULT_LOADS,
    val evidenceLimit: Duration = 2.5.seconds,
    val lossLimit: Duration = 5.seconds,
    val absenceLimit: Duration = 5.seconds,
    val drainTime: Duration = 5.5.seconds,
    val idleTime: Duration = 3.seconds,
    val loadLimit: Duration = 10.minutes,
    val surplusDelay: Duration = 3.seconds,
    val settleTime: Duration = 3.seconds,
) {
    private companion object {
        const val DEFAULT_LOADS = 4
    }
}

/**
 * The observed state of one instance. [age] is the time since the newest [report] was asked for; [silentFor]
 * does not count time in which this daemon was not polling. [idleFor] is how long all reports have shown no work,
 * [unreadyFor] how long the instance has not been ready for its present group, [unlistedFor] how long the live list has
 * been without it. [incarnationKnownFor] is how long before the newest read of the live list its incarnation was first
 * seen; zero when the newest report is older than the domain that the list gives.
 */
data class InstanceObservation(
    val report: InstanceReport?,
    val age: Duration,
    val silentFor: Duration = age,
    val idleFor: Duration = Duration.ZERO,
    val unreadyFor: Duration = Duration.ZERO,
    val unlistedFor: Duration = Duration.ZERO,
    val incarnationKnownFor: Duration = Duration.ZERO,
)

/**
 * Everything that planning one domain depends on. [listed] holds the domain's instances in the live list, [fleet] and
 * [distribution] cover all domains. [observations] cover all listed instances and all members of [division].
 * [drainingFor] and [surplusFor] are how long this daemon has seen a group drain and an entry have a surplus here.
 * Instances in [recentLoadFailures] failed to load recently and form no new groups. [refused] holds the group and
 * fencing number of the last order that an instance refused as stale. [pendingEvents] are added to the
 * division's events.
 */
data class PlanningInput(
    val catalogue: Catalogue,
    val division: Division,
    val listed: PersistentMap<InstanceId, ListedInstance>,
    val fleet: FleetInventory,
    val distribution: ReplicaDistribution,
    val observations: PersistentMap<InstanceId, InstanceObservation>,
    val drainingFor: PersistentMap<GroupId, Duration>,
    val surplusFor: PersistentMap<EntryName, Duration>,
    val recentLoadFailures: PersistentSet<InstanceId>,
    val refused: PersistentMap<InstanceId, GroupKey>,
    val pendingEvents: PersistentList<PendingEvent>,
    val stamp: HybridTime,
    val settings: PlanningSettings,
) {
    /** The newest report of [instance] if it is recent enough to act on. */
    internal fun recent(instance: InstanceId): InstanceReport? =
        observations[instance]?.takeIf { it.age <= settings.evidenceLimit }?.report

    /** Whether [instance] has been announced to leave, by the live list or by itself. */
    internal fun leaving(instance: InstanceId): Boolean =
        listed[instance]?.state == ListedState.LEAVING || recent(instance)?.leaving == true
}

/** An event about [entry] to be added to the division's events, such as a lasting shortage. */
data class PendingEvent(val entry: EntryName, val text: String)

/** An order for one instance; [address] is `host:port`. */
data class InstanceOrder(val instance: InstanceId, val address: String, val order: Order)

/**
 * The result of planning. [next] is the division to write, `null` when nothing changes. [orders] follow from [next], or
 * from the present division without one, and may be sent only once that division is known to be the stored one.
 * [failedLoads] are the instances that [next] leaves out because they did not become ready. [events] are those that
 * [next] adds to the division.
 */
data class Plan(
    val next: Division?,
    val orders: List<InstanceOrder>,
    val findings: List<HealthFinding>,
    val events: List<DivisionEvent>,
    val failedLoads: List<InstanceId>,
)
