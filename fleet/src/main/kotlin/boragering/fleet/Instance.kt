package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration

/** The host and port on which an instance listens. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** The state that an instance reports in the list. */
enum class InstanceState {
    /** The instance accepts requests. */
    SERVING,

    /** The instance finishes its running requests and then ends. */
    LEAVING,
}

/** The state of a member of a group. */
enum class MemberState {
    /** The member loads its weights or warms up. */
    JOINING,

    /** The member has loaded its weights and waits for its next order. */
    READY,

    /** The member is the head of its group and accepts requests. */
    OPEN,

    /** The member is the head of its group, finishes its running requests and accepts no new ones. */
    CLOSING,

    /** The member was the head of a group that lost a member. */
    BROKEN,
}

/** Identifies one composition of a group. Each later composition has another epoch. */
data class GroupEpoch(val group: GroupId, val epoch: Long) {
    override fun toString(): String = "$group/$epoch"
}

/** An instance's membership of a group. The member of rank 0 is the head, which receives the group's requests. */
data class GroupMembership(val group: GroupEpoch, val rank: Int, val state: MemberState)

/** Identifies one start of an instance. An instance that restarts under the same id has lost all earlier state. */
data class InstanceStart(val id: InstanceId, val startedAtMilliseconds: Long?) {
    override fun toString(): String = "$id@${startedAtMilliseconds ?: "?"}"
}

/**
 * An instance as it appears in the list of instances.
 *
 * @property loaded models whose weights the instance has loaded, so that it can serve them.
 * @property staged models whose weights are stored on the instance's host.
 * @property coldRemaining time for which the instance stated that it is still cold; `null` if it states nothing.
 */
data class Instance(
    val start: InstanceStart,
    val service: ServiceName,
    val address: Address,
    val availabilityZone: AvailabilityZone,
    val state: InstanceState,
    val slots: Int = 1,
    val domain: FabricDomain? = null,
    val loaded: PersistentSet<ModelName> = persistentSetOf(),
    val staged: PersistentSet<ModelName> = persistentSetOf(),
    val membership: GroupMembership? = null,
    val coldRemaining: Duration? = null,
) {
    /** The id under which the instance is listed. */
    val id: InstanceId get() = start.id
}
