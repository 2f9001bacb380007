package boragering.core.groups

import boragering.core.EntryName
import boragering.core.FabricDomain
import kotlinx.serialization.Serializable

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
