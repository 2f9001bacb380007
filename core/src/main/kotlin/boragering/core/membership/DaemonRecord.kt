package boragering.core.membership

import boragering.core.DaemonId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The state of a daemon according to a [DaemonRecord]. */
@Serializable
enum class DaemonState {
    /** The daemon itself reported this heartbeat. */
    @SerialName("alive")
    ALIVE,

    /** Another daemon got no response from the daemon, whose last known heartbeat was this one. */
    @SerialName("suspected")
    SUSPECTED,

    /** The daemon announced that it shuts down. */
    @SerialName("left")
    LEFT,
}

/**
 * The membership record of one daemon, which daemons exchange as the content of an [Item]. Only the daemon itself
 * increases its [heartbeat], so only it can refute a suspicion. The version of the item orders the records: a suspicion
 * replaces an alive record with the same heartbeat, a higher heartbeat replaces the suspicion, and no record replaces
 * the announcement that the daemon left.
 */
@Serializable
data class DaemonRecord(val registration: Registration, val heartbeat: Long, val state: DaemonState) {
    /** The daemon that the record is about. */
    val daemon: DaemonId get() = registration.daemon

    /** The item that carries this record. */
    fun toItem(): Item = Item(Registration.key(daemon), version, Json.encodeToString(this))

    private val version: Long
        get() = when (state) {
            DaemonState.ALIVE -> heartbeat * STATES
            DaemonState.SUSPECTED -> heartbeat * STATES + 1
            DaemonState.LEFT -> Long.MAX_VALUE
        }

    companion object {
        private const val STATES = 2

        /** Decodes the record in [item]; returns `null` when the item does not contain a valid one. */
        fun of(item: Item): DaemonRecord? = try {
            Json.decodeFromString<DaemonRecord>(item.content)
                .takeIf { Registration.key(it.daemon) == item.key && it.version == item.version }
        } catch (_: SerializationException) {
            null
        }
    }
}
