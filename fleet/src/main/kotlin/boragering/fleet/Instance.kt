package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Where an instance listens. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** What a listed instance says of itself. */
enum class InstanceState {
    /** It takes requests. */
    SERVING,

    /** It finishes what it runs and then ends. */
    LEAVING,
}

/** How far a member of a group has come. */
enum class MemberState {
    /** Loads or warms up. */
    JOINING,

    /** Has the weights and waits. */
    READY,

    /** Serves as the head of its group. */
    OPEN,

    /** Finishes its work as the head, and takes no more. */
    CLOSING,

    /** Was the head of a group that lost a member. */
    BROKEN,
}

/** Names one composition of a group: a later one has another epoch. */
data class GroupEpoch(val group: GroupId, val epoch: Long) {
    override fun toString(): String = "$group/$epoch"
}

/** That an instance belongs to a group; the member of rank 0 is the head, to which requests are sent. */
data class GroupMembership(val group: GroupEpoch, val rank: Int, val state: MemberState)

/** One start of an instance: an instance may start again under its id, and then knows nothing of before. */
data class InstanceStart(val id: InstanceId, val startedAtMilliseconds: Long?) {
    override fun toString(): String = "$id@${startedAtMilliseconds ?: "?"}"
}

/**
 * An instance as the list of instances shows it.
 *
 * @property loaded models whose weights it holds ready.
 * @property staged models whose weights lie on its host.
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
) {
    /** The id under which it is listed. */
    val id: InstanceId get() = start.id
}
