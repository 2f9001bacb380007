package boragering.core.groups

import boragering.core.EntryName
import boragering.core.FabricDomain
import kotlinx.serialization.Serializable

/**
 * A shortage or fault that the system cannot repair within the limits of the catalogue. [domain] is `null` when no
 * domain can hold a wanted replica. [wanted] and [whole] are numbers of replicas.
 */
@Serializable
data class HealthFinding(
    val domain: FabricDomain?,
    val entry: EntryName,
    val wanted: Int,
    val whole: Int,
    val reason: String,
    val sinceMilliseconds: Long,
)

/** Response body of `GET /operator/groups`. */
@Serializable
data class GroupsAnswer(val groups: List<GroupStatus>)

/** A group and its health as this daemon knows it. [evidenceAgeMilliseconds] is `null` without evidence. */
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
