package boragering.core

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

/** State of one entry as one daemon sees it; [wanted] and [whole] count replicas, the rest counts requests. */
@Serializable
data class EntryStatus(val entry: EntryName, val wanted: Int?, val whole: Int, val queued: Int, val inFlight: Int)

/** Something that the system cannot repair within the catalogue's limits. */
@Serializable
data class HealthFinding(
    val domain: FabricDomain?,
    val entry: EntryName,
    val wanted: Int,
    val whole: Int,
    val reason: String,
    val sinceMilliseconds: Long,
)

/** Answer of `GET /operator/groups`. */
@Serializable
data class GroupsAnswer(val groups: List<GroupStatus>)

/** A group with this daemon's view of its health. [evidenceAgeMilliseconds] is `null` without evidence. */
@Serializable
data class GroupStatus(
    val domain: FabricDomain,
    val divisionVersion: Long,
    val group: Group,
    val whole: Boolean,
    val evidenceAgeMilliseconds: Long?,
    val running: Int,
    val slots: Int,
)

/** Answer of `GET /operator/timeline`: the events that one daemon holds. */
@Serializable
data class TimelineAnswer(val daemon: DaemonId, val events: List<TimelineEvent>)

/** Answer of `GET /operator/peers`: the live daemons that one daemon knows, itself included. */
@Serializable
data class PeersAnswer(val daemons: List<Registration>)

/** Answer of `GET /operator/requests/{id}`: the events of one request on one daemon. */
@Serializable
data class RequestAnswer(val request: RequestId, val events: List<TimelineEvent>)

/** Body of `POST /operator/catalogue`. [catalogue] is the text of the operators' document. */
@Serializable
data class ApplyRequest(val token: String, val author: String, val baseRevision: Long, val catalogue: String)

/** Answer of `GET /operator/catalogue`. */
@Serializable
data class CatalogueAnswer(val revision: Long, val catalogue: String)

/** Answer of `GET /operator/catalogue/history`, newest first. */
@Serializable
data class HistoryAnswer(val revisions: List<CatalogueRevision>)

/** One accepted change of the catalogue. */
@Serializable
data class CatalogueRevision(
    val revision: Long,
    val token: String,
    val author: String,
    val atMilliseconds: Long,
    val changed: List<String>,
)

/**
 * Answer of `POST /operator/catalogue`, with HTTP status 200 for accepted, 409 for a conflict, 422 for findings and 503
 * for unknown or unavailable. After a conflict, [revision] is the current one, [changed] names what has changed since
 * the base revision, and [conflicting] names what the refused document would change too.
 */
@Serializable
data class ApplyAnswer(
    val result: ApplyResult,
    val revision: Long? = null,
    val changed: List<String> = emptyList(),
    val findings: List<Finding> = emptyList(),
    val detail: String? = null,
    val conflicting: List<String> = emptyList(),
)

/** What became of a change to the catalogue. */
@Serializable
enum class ApplyResult {
    /** The change is written and will be in force everywhere. */
    ACCEPTED,

    /** Another change came first; nothing was written. */
    CONFLICT,

    /** The document has faults; nothing was written. */
    INVALID,

    /** The store cannot be reached; nothing was written. */
    UNAVAILABLE,

    /** It is not known whether the change was written; sending the same token again tells. */
    UNKNOWN,
}
