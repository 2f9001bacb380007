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
 * Limits of planning. At most [loadsAtOnce] groups of the domain load at the same time. Reports older than
 * [evidenceLimit] are not used. A member is lost when it has been silent for [lossLimit], or missing from the live list
 * for [absenceLimit], or not ready for [loadLimit]. A group drains for at least [drainTime], and until its leader has
 * been idle for [idleTime]. A surplus must last for [surplusDelay] before a group is drained for it, so that divisions
 * still in transit between daemons do not cause draining. An incarnation must have been known for [settleTime] before
 * it is assigned: an instance that restarts in another domain reports its new incarnation while the lagging live list
 * still gives its old domain, and two planners would assign it.
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
 * The observed state of one instance. [age] is the time since the newest [report] was requested. [silentFor] is the
 * time since then, or since this daemon resumed polling after a pause if that was later. [idleFor] is how long all
 * reports have shown no work. [unreadyFor] is how long the instance has not been ready for its present group.
 * [unlistedFor] is how long the live list has not had the instance in this domain. [incarnationKnownFor] is the time
 * from the first report of the incarnation to the newest read of the live list. It is zero when the newest report was
 * requested before the list first gave the instance's present domain.
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
 * The inputs of planning one domain. [listed] holds the domain's instances in the live list. [fleet] and
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
    /** Returns the newest report of [instance], `null` if it is older than [PlanningSettings.evidenceLimit]. */
    internal fun recent(instance: InstanceId): InstanceReport? =
        observations[instance]?.takeIf { it.age <= settings.evidenceLimit }?.report

    /** Whether the live list or the recent report of [instance] says that the instance is leaving. */
    internal fun leaving(instance: InstanceId): Boolean =
        listed[instance]?.state == ListedState.LEAVING || recent(instance)?.leaving == true
}

/** An event about [entry] to be added to the division's events, such as a lasting shortage. */
data class PendingEvent(val entry: EntryName, val text: String)

/** An order for one instance; [address] is `host:port`. */
data class InstanceOrder(val instance: InstanceId, val address: String, val order: Order)

/**
 * The result of planning. [next] is the division to write, `null` when nothing changes. [orders] follow from [next], or
 * from the present division when [next] is `null`, and may be sent only once that division is known to be stored.
 * [failedLoads] are the instances that [next] does not assign because they did not become ready. [events] are the
 * events that [next] adds to the division.
 */
data class Plan(
    val next: Division?,
    val orders: List<InstanceOrder>,
    val findings: List<HealthFinding>,
    val events: List<DivisionEvent>,
    val failedLoads: List<InstanceId>,
)
