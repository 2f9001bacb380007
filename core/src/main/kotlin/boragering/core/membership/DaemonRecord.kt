package boragering.core.membership

import boragering.core.DaemonId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** What a [DaemonRecord] states about a daemon. */
@Serializable
enum class DaemonState {
    /** The daemon itself stated this heartbeat. */
    @SerialName("alive")
    ALIVE,

    /** Another daemon got no response from it at this heartbeat. */
    @SerialName("suspected")
    SUSPECTED,

    /** The daemon announced its end. */
    @SerialName("left")
    LEFT,
}

/**
 * The content of the item with which daemons tell each other about one daemon. Only that daemon raises its
 * [heartbeat], so that a suspicion is refuted by it alone. The item's version orders the records: a suspicion replaces
 * the same heartbeat, a higher heartbeat replaces the suspicion, and nothing replaces the announcement of the end.
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

        /** The record in [item]; `null` when the item does not carry a valid one. */
        fun of(item: Item): DaemonRecord? = try {
            Json.decodeFromString<DaemonRecord>(item.content)
                .takeIf { Registration.key(it.daemon) == item.key && it.version == item.version }
        } catch (_: SerializationException) {
            null
        }
    }
}
