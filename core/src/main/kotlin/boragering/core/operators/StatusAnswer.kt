package boragering.core.operators

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.RequestId
import boragering.core.groups.HealthFinding
import boragering.core.membership.Registration
import boragering.core.timeline.TimelineEvent
import kotlinx.serialization.Serializable

/** Answer of `GET /operator/status`. */
@Serializable
data class StatusAnswer(
    val daemon: DaemonId,
    val availabilityZone: AvailabilityZone,
    val region: String,
    val ready: Boolean,
    val draining: Boolean,
    val catalogueRevision: Long?,
    val storeReachable: Boolean,
    val liveDaemons: List<Registration>,
    val entries: List<EntryStatus>,
    val findings: List<HealthFinding>,
)

/** One daemon's view of an entry; [wanted] and [whole] count replicas, [queued] and [inFlight] count requests. */
@Serializable
data class EntryStatus(val entry: EntryName, val wanted: Int?, val whole: Int, val queued: Int, val inFlight: Int)

/** Answer of `GET /operator/timeline`: the events in one daemon's timeline. */
@Serializable
data class TimelineAnswer(val daemon: DaemonId, val events: List<TimelineEvent>)

/** Answer of `GET /operator/peers`: the live daemons known to one daemon, including itself. */
@Serializable
data class PeersAnswer(val daemons: List<Registration>)

/** Answer of `GET /operator/requests/{id}`: one daemon's events for one request. */
@Serializable
data class RequestAnswer(val request: RequestId, val events: List<TimelineEvent>)
