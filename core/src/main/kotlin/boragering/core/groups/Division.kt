package boragering.core.groups

import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.timeline.HybridTime
import boragering.core.timeline.TimelineEntry
import boragering.core.timeline.TimelineEvent
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The division of one fabric domain's instances into groups. It is stored as one document and changed only by
 * compare-and-swap, so that an instance is never in two groups. [unusable] names listed instances of the domain that
 * its planner found silent, leaving or unable to load, so that planners of other domains do not treat them as spare.
 * [catalogueRevision] is the catalogue revision that the division was planned for. A planner with a lower revision does
 * not change the division.
 *
 * @throws IllegalArgumentException when an instance or a group identity occurs more than once.
 */
@Serializable
data class Division(
    val domain: FabricDomain,
    val version: Long,
    val groups: List<Group> = emptyList(),
    val events: List<DivisionEvent> = emptyList(),
    val unusable: List<InstanceId> = emptyList(),
    val catalogueRevision: Long = 0,
) {
    init {
        val instances = groups.flatMap { group -> group.members.map { it.instance } }
        val repeated = instances.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        require(repeated.isEmpty()) { "division of $domain: instances listed more than once: $repeated" }
        require(groups.distinctBy { it.id }.size == groups.size) { "division of $domain: repeated group identity" }
    }

    companion object {
        /** Prefix of the store keys of all divisions. */
        const val KEY_PREFIX = "boragering/divisions/"

        /** The store key of a domain's division. */
        fun key(domain: FabricDomain): String = "$KEY_PREFIX$domain"
    }
}

/**
 * A group as the division document states it. Whether it can serve follows from its members' reports. [model] and
 * [modelVersion] are `null` for an instance of a plain service, which is a group of one member without orders.
 */
@Serializable
data class Group(
    val id: GroupId,
    val entry: EntryName,
    val model: String?,
    val modelVersion: String?,
    val fence: Fence,
    val members: List<Member>,
    val leader: InstanceId,
    val phase: GroupPhase = GroupPhase.Active,
) {
    init {
        require(members.any { it.instance == leader }) { "group $id: leader $leader is not a member" }
    }

    /** The member that takes the group's requests. */
    val leadingMember: Member get() = members.first { it.instance == leader }
}

/** One member of a group; a report of another incarnation does not count for it. [address] is `host:port`. */
@Serializable
data class Member(val instance: InstanceId, val incarnation: Incarnation, val address: String)

/** The phase that the planner has set for a group. */
@Serializable
sealed interface GroupPhase {
    /** The group serves whenever it is whole. */
    @Serializable
    @SerialName("active")
    data object Active : GroupPhase

    /** The group gets no new requests and is removed when it has finished those it has. */
    @Serializable
    @SerialName("draining")
    data class Draining(val reason: String, val sinceMilliseconds: Long) : GroupPhase
}

/** An event in the history of a division, stored with it for operators. */
@Serializable
data class DivisionEvent(val stamp: HybridTime, val group: GroupId?, val entry: EntryName?, val text: String)

/** The event as part of the time line. */
fun DivisionEvent.toTimelineEvent(): TimelineEvent =
    TimelineEvent(stamp, TimelineEntry(kind = "division", text = text, group = group, entry = entry))
