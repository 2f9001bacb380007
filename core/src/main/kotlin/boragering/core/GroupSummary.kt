package boragering.core

import kotlinx.serialization.Serializable

/**
 * What a planner states about one group after polling its members. [ageMilliseconds] is the age of the oldest member
 * report in it when it was sent.
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
