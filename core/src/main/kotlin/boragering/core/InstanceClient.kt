package boragering.core

import arrow.core.Either
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Port for polling reports from instances and sending them orders. Requests go through [TargetClient]. */
interface InstanceClient {
    /** Asks the instance at [address] (`host:port`) for its report. */
    suspend fun report(address: String): Either<TargetFailure, InstanceReport>

    /** Sends an order to the instance at [address] (`host:port`). */
    suspend fun order(address: String, order: Order): Either<TargetFailure, Unit>
}

/** An order to an engine. */
@Serializable
sealed interface Order {
    /** The group that the instance is to join or leave. */
    val group: GroupId

    /** The fencing number of the group's membership. */
    val fence: Fence

    /** Join the group and load the model's weights. */
    @Serializable
    @SerialName("load")
    data class Load(
        override val group: GroupId,
        override val fence: Fence,
        val model: String,
        val modelVersion: String,
        val members: List<OrderMember>,
        val leader: InstanceId,
    ) : Order

    /** Leave the group. */
    @Serializable
    @SerialName("release")
    data class Release(override val group: GroupId, override val fence: Fence) : Order
}

/** A group member listed in an order; the leader connects to the other members at [address] (`host:port`). */
@Serializable
data class OrderMember(val instance: InstanceId, val address: String)

/** The reason why a call to a target failed. Only after [NotSent] and [Refused] is it certain that nothing ran. */
sealed interface TargetFailure {
    /** Explanation for logs and operators. */
    val reason: String

    /** No byte of the request left this process, for example because the connection was refused. */
    data class NotSent(override val reason: String) : TargetFailure

    /** The target refused the request with an answer that, by its contract, means that the request will not run. */
    data class Refused(override val reason: String, val status: Int) : TargetFailure

    /** The request was sent, but no complete answer was received; the request may have run. */
    data class Broken(override val reason: String) : TargetFailure

    /** The request was sent and timed out; it may have run. */
    data class TimedOut(override val reason: String) : TargetFailure
}

/** Port for requests of callers to targets. */
interface TargetClient {
    /**
     * Sends [call] and passes the parts of the answer to [receive] in order. Returns success only when the answer was
     * received to its end: the end marker of a stream, or the whole declared body. When the caller's coroutine is
     * cancelled, the connection is closed and the target is told to cancel the request.
     */
    suspend fun send(call: TargetCall, receive: suspend (AnswerPart) -> Unit): Either<TargetFailure, Unit>
}

/** One request to one target. */
data class TargetCall(
    val request: RequestId,
    val address: String,
    val method: String,
    val path: String,
    val headers: PersistentList<Header>,
    val body: Bytes,
    val timeout: Duration,
)

/** An HTTP header. */
@Serializable
data class Header(val name: String, val value: String)

/** An immutable byte sequence; the array must not be modified after construction. */
class Bytes(val array: ByteArray) {
    /** Number of bytes. */
    val size: Int get() = array.size

    /** The bytes as UTF-8 text. */
    fun text(): String = array.decodeToString()

    override fun equals(other: Any?): Boolean = other is Bytes && array.contentEquals(other.array)

    override fun hashCode(): Int = array.contentHashCode()

    override fun toString(): String = "Bytes(size=$size)"

    companion object {
        /** Encodes [text] as UTF-8. */
        fun of(text: String): Bytes = Bytes(text.encodeToByteArray())
    }
}

/** A part of a target's answer. */
sealed interface AnswerPart {
    /** Status and headers; always first. */
    data class Start(val status: Int, val headers: PersistentList<Header>) : AnswerPart

    /**
     * One server-sent event of a stream, without the end marker. [identity] is the request identity that the target
     * put into the event, or `null` if the event has none.
     */
    data class Event(val identity: String?, val data: String) : AnswerPart

    /** A piece of a body that is not a stream of events. */
    data class Body(val bytes: Bytes) : AnswerPart
}
