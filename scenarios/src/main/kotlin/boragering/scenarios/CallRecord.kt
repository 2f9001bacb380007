package boragering.scenarios

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import java.util.concurrent.ConcurrentLinkedQueue

/** What a caller asked for. */
sealed interface Call {
    /** The entry of the catalogue. */
    val entry: String

    /** The value of `Idempotency-Key`. */
    val idempotencyKey: String?
}

/** A chat completion. */
data class ChatCall(
    override val entry: String,
    val messages: JsonArray,
    val maxTokens: Int,
    val stream: Boolean = true,
    override val idempotencyKey: String? = null,
) : Call

/** A request to a plain service; [path] is below the entry and starts with `/`. */
data class ServiceCall(
    override val entry: String,
    val method: String,
    val path: String,
    val body: String = "",
    override val idempotencyKey: String? = null,
) : Call

/** How a call ended. [request] is the identity that the daemon returned, when it returned one. */
sealed interface CallOutcome {
    val request: String?

    /**
     * The whole response arrived: up to the end marker of a stream, otherwise the declared length. [identities] are
     * those in the chunks or the document of a completion.
     */
    data class Complete(
        override val request: String?,
        val status: Int,
        val text: String,
        val identities: Set<String> = emptySet(),
    ) : CallOutcome

    /** The daemon responded with an error; [problem] is `null` when its body is not a problem document. */
    data class Refused(
        override val request: String?,
        val status: Int,
        val problem: ProblemDocument?,
        val retryAfter: String?,
    ) : CallOutcome

    /** The response broke off, or there was none; [text] is what had arrived. */
    data class Broken(override val request: String?, val text: String, val reason: String) : CallOutcome
}

/** The part of an `application/problem+json` body that scenarios use. */
@Serializable
data class ProblemDocument(
    val type: String? = null,
    val status: Int? = null,
    val detail: String? = null,
    val outcome: String? = null,
)

/** One call with its outcome; times are wall-clock milliseconds. */
data class CallRecord(val call: Call, val outcome: CallOutcome, val started: Long, val ended: Long)

/** The calls of all callers of a deployment, in the order of their ends. */
internal class CallHistory {
    private val records = ConcurrentLinkedQueue<CallRecord>()

    val all: List<CallRecord> get() = records.toList()

    fun add(record: CallRecord) {
        records += record
    }
}
