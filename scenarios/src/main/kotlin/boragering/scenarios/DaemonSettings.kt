package boragering.scenarios

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/** The settings file of a daemon; durations and sizes have units. */
@Serializable
data class DaemonSettings(
    val name: String,
    val availabilityZone: String,
    val region: String,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val peers: PeerSettings,
    val operators: OperatorSettings,
    val limits: LimitSettings? = null,
    val groups: GroupSettings? = null,
    val requests: RequestSettings? = null,
)

/** The addresses that a daemon binds, each `host:port`. */
@Serializable
data class ListenSettings(val callers: String, val operators: String, val peers: String)

/** URLs of the platform's services and the time limit of each call to them. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
data class PlatformSettings(
    val store: String,
    val liveList: String,
    @EncodeDefault val timeout: String = "2s",
)

/** Addresses of other daemons' peer ports and the file with the secret that they share. */
@Serializable
data class PeerSettings(val seeds: List<String>, val secretFile: String)

/** The file with the operators' token. */
@Serializable
data class OperatorSettings(val secretFile: String)

/** Limits of a daemon; `null` leaves the daemon's default. */
@Serializable
data class LimitSettings(
    val requestBody: String? = null,
    val concurrentRequests: Int? = null,
    val drainTime: String? = null,
)

/** How a daemon cares for groups; `null` leaves the daemon's default. */
@Serializable
data class GroupSettings(
    val pollInterval: String? = null,
    val holdersPerGroup: Int? = null,
    val loadsAtOnce: Int? = null,
)

/** How a daemon places requests; `null` leaves the daemon's default. */
@Serializable
data class RequestSettings(val selection: String? = null)
