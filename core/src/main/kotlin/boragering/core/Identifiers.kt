package boragering.core

import kotlinx.serialization.Serializable

/** Identifies one instance in the platform's live list. */
@JvmInline
@Serializable
value class InstanceId(val value: String) {
    override fun toString(): String = value
}

/** Names one start of an instance; a restarted instance reports another incarnation under the same id. */
@JvmInline
@Serializable
value class Incarnation(val value: String) {
    override fun toString(): String = value
}

/** Names a set of instances that share a fast interconnect; a group never spans two of them. */
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

/** Identifies one request of one caller through all processes. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/**
 * Fencing number of a group: the version of its fabric domain's division document at which the group's present
 * membership was written. An order or a request with a lower number than the highest one seen is stale.
 */
@JvmInline
@Serializable
value class Fence(val value: Long) : Comparable<Fence> {
    override fun compareTo(other: Fence): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
