package boragering.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement

// In a private companion it would hide the serializer from other classes.
private const val DEFAULT_TOKENS = 16

/** Header of a refusal that is certain to precede any run. */
internal val notRun = listOf("Boragering-Not-Run" to "true")

/** What an engine does for its group. */
@Serializable
enum class EnginePhase {
    @SerialName("idle")
    IDLE,

    @SerialName("loading")
    LOADING,

    @SerialName("ready")
    READY,

    @SerialName("draining")
    DRAINING,
}

/** Body of `GET /status`. */
@Serializable
data class EngineStatus(
    val instance: String,
    val incarnation: String,
    val phase: EnginePhase,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val leaving: Boolean,
    val group: String? = null,
    val fence: Long? = null,
    val model: String? = null,
    val modelVersion: String? = null,
)

/** One member of a group, as a load order names it. */
@Serializable
data class EngineMember(val instance: String, val address: String)

/** Body of `POST /orders`; a release has only kind, group and fence. */
@Serializable
data class EngineOrder(
    val kind: String,
    val group: String,
    val fence: Long,
    val model: String = "",
    val modelVersion: String = "",
    val members: List<EngineMember> = emptyList(),
    val leader: String = "",
)

/** The part of a chat completion request that the engine uses. */
@Serializable
internal data class ChatRequest(
    val model: String = "",
    val messages: JsonElement = JsonArray(emptyList()),
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_TOKENS,
    val stream: Boolean = false,
    @SerialName("resume_from") val resumeFrom: Int = 0,
) {
    init {
        require(maxTokens >= 0 && resumeFrom >= 0) { "max_tokens and resume_from must not be negative" }
    }
}

@Serializable
internal data class ChatText(val content: String? = null, val role: String? = null)

@Serializable
internal data class ChatChoice(
    val index: Int,
    val delta: ChatText? = null,
    val message: ChatText? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)

/** A chat completion or one chunk of it. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val type: String,
    val created: Long,
    val model: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage? = null,
)

/**
 * Faults of an engine. All times are multiplied by [slowFactor]. The next [wrongIdentity] answers carry another
 * request's identity: an additional chunk of a stream, or the whole of an answer that is not a stream. The next
 * [breakStreams] answers end with a closed connection after [breakAfterTokens] tokens. The next [refuse] requests are
 * refused as not run. While [unreachable], everything but control calls ends with a closed connection.
 */
@Serializable
data class EngineFaults(
    val slowFactor: Double = 1.0,
    val leaving: Boolean = false,
    val wrongIdentity: Int = 0,
    val breakStreams: Int = 0,
    val breakAfterTokens: Int = 0,
    val refuse: Int = 0,
    val unreachable: Boolean = false,
)
