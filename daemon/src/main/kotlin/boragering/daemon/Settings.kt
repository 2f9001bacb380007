package boragering.daemon

import boragering.core.AvailabilityZone
import boragering.core.requests.ReplicaSelection
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * The daemon's settings after validation. Secrets are references that have not been read yet. [listen] holds the
 * addresses at which the daemon opens its ports, and [advertise] those at which others reach these ports.
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

/** Base URLs of the platform's services. [timeout] limits each call to the key-value store [store]. */
data class PlatformSettings(val store: String, val liveList: String, val timeout: Duration)

/**
 * Limits that protect the daemon: the size of a request body in bytes, the number of concurrent requests,
 * and the time for which requests in progress may continue while the daemon stops.
 */
data class LimitSettings(val requestBody: Long, val concurrentRequests: Int, val drainTime: Duration)

/** How often instances are polled, how many daemons hold each group, and how many loads may run at once. */
data class GroupSettings(val pollInterval: Duration, val holdersPerGroup: Int, val loadsAtOnce: Int)

/** How a replica is selected for each request. Policies other than the default exist for comparison. */
data class RequestSettings(val selection: ReplicaSelection)

/** The source of a secret. The settings never contain the secret itself. */
sealed interface SecretReference {
    /** The secret is the content of the file at [path], without surrounding white space. */
    data class File(val path: String) : SecretReference

    /** The secret is the value of the environment variable [name], without surrounding white space. */
    data class Variable(val name: String) : SecretReference
}
