package boragering.core

import kotlinx.serialization.Serializable

/**
 * The state of one group as its planner last polled it from the members. [ageMilliseconds] is the age of the oldest
 * member report in the summary at the time it was sent.
 */
@Serializable
data class GroupSummary(
    val domain: FabricDomain,
    val group: GroupId,
    val fence: Fence,
    val whole: Boolean,
    val leaving: Boolean,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val ageMilliseconds: Long,
)
