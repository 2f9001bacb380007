package boragering.daemon

import boragering.core.AvailabilityZone
import boragering.core.requests.ReplicaSelection
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * The daemon's settings. They have been checked; secrets are still references. [advertise] is where others reach the
 * ports that the daemon opens at [listen].
 */
data class Settings(
    val name: String,
    val availabilityZone: AvailabilityZone,
    val region: String,
    val listen: Addresses,
    val advertise: Addresses,
    val platform: PlatformSettings,
    val seeds: PersistentList<SocketAddress>,
    val peerSecret: SecretReference,
    val operatorToken: SecretReference,
    val limits: LimitSettings,
    val groups: GroupSettings,
    val requests: RequestSettings,
)

/** The addresses of the daemon's three ports. */
data class Addresses(val callers: SocketAddress, val operators: SocketAddress, val peers: SocketAddress)

/** An IP address or host name with a port. */
data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Base URLs of the platform's services. [timeout] bounds each call to the key-value service. */
data class PlatformSettings(val store: String, val liveList: String, val timeout: Duration)

/** Bounds that protect the daemon. Sizes are in bytes. */
data class LimitSettings(val requestBody: Long, val concurrentRequests: Int, val drainTime: Duration)

/** How groups are watched and formed. */
data class GroupSettings(val pollInterval: Duration, val holdersPerGroup: Int, val loadsAtOnce: Int)

/** How requests are placed. Policies other than the default exist for comparison. */
data class RequestSettings(val selection: ReplicaSelection)

/** Where a secret is read from. The secret itself is never part of the settings. */
sealed interface SecretReference {
    /** The content of a file, without surrounding white space. */
    data class File(val path: String) : SecretReference

    /** The value of an environment variable. */
    data class Variable(val name: String) : SecretReference
}
