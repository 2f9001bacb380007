package boragering.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state that an instance reports when it is polled. [running] and [queued] lag behind the actual counts. [group]
 * and [fence] are absent on an idle engine and on instances of plain services.
 */
@Serializable
data class InstanceReport(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val group: GroupId? = null,
    val fence: Fence? = null,
    val phase: InstancePhase = InstancePhase.READY,
    val model: String? = null,
    val modelVersion: String? = null,
    val running: Int = 0,
    val queued: Int = 0,
    val slots: Int = 1,
    val leaving: Boolean = false,
)

/** What an instance is doing for its group. */
@Serializable
enum class InstancePhase {
    /** The instance has no order. */
    @SerialName("idle")
    IDLE,

    /** The instance is loading weights. */
    @SerialName("loading")
    LOADING,

    /** The instance can serve. */
    @SerialName("ready")
    READY,

    /** The instance finishes its current requests and accepts no new ones. */
    @SerialName("draining")
    DRAINING,
}
