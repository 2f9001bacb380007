package boragering.core

import kotlinx.serialization.Serializable

/** Identifies one instance in the platform's live list. */
@JvmInline
@Serializable
value class InstanceId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one start of an instance; a restarted instance keeps its id and reports a new incarnation. */
@JvmInline
@Serializable
value class Incarnation(val value: String) {
    override fun toString(): String = value
}

/** Names a set of instances that share a fast interconnect; a group never spans two fabric domains. */
@JvmInline
@Serializable
value class FabricDomain(val value: String) {
    override fun toString(): String = value
}

/** Names an availability zone. */
@JvmInline
@Serializable
value class AvailabilityZone(val value: String) {
    override fun toString(): String = value
}

/** Identifies a group: the instances that together serve one replica of an entry. */
@JvmInline
@Serializable
value class GroupId(val value: String) {
    override fun toString(): String = value
}

/** Names an entry of the catalogue. */
@JvmInline
@Serializable
value class EntryName(val value: String) {
    override fun toString(): String = value
}

/** Names an organisation whose callers send requests. */
@JvmInline
@Serializable
value class OrganisationName(val value: String) {
    override fun toString(): String = value
}

/** Identifies one start of one daemon process; a restarted daemon has another id. */
@JvmInline
@Serializable
value class DaemonId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of one caller in every process that handles it. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/**
 * Fencing number of a group: the version of its fabric domain's division document in which the group's current
 * membership was written. An order or a request is stale when its number is lower than the highest one received.
 */
@JvmInline
@Serializable
value class Fence(val value: Long) : Comparable<Fence> {
    override fun compareTo(other: Fence): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
