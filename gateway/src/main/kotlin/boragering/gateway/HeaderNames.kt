package boragering.gateway

import io.netty.util.AsciiString

/**
 * The header names that the callers and instances of a deployment use. Names are not case sensitive.
 *
 * @property requestId identifies one request of a caller; instances repeat it in their responses.
 * @property deadlineRemaining milliseconds until the caller's deadline.
 * @property apiKey the caller's API key; never forwarded.
 * @property organisation name of the organisation that holds the key; set by the gateway only.
 * @property expectedInstance id of the instance to which a request is addressed; other instances do not run it.
 * @property priority priority of the request at the engine; 0 is the most urgent.
 * @property lastEventId id of the last event of a stream that the caller has received.
 * @property model name of the model that the request asks for.
 * @property promptParts the parts of the prompt in order, as `ID:TOKENS` entries separated by commas.
 * @property notExecuted present in a response if the request was not run and will not be.
 * @property serverLoad numbers of running requests, waiting requests and slots of an instance, separated by commas.
 * @property rateLimit requests per second that an instance takes from all gateways together, a decimal number.
 * @property leaving present, with the value `1`, in the responses of an instance that leaves.
 * @property responseSignature identifies a response as written by an instance.
 * @property failedInstance id of the instance that caused a request to be refused.
 */
data class HeaderNames(
    val requestId: String,
    val deadlineRemaining: String,
    val apiKey: String,
    val organisation: String,
    val expectedInstance: String,
    val priority: String,
    val lastEventId: String,
    val model: String,
    val promptParts: String,
    val notExecuted: String,
    val serverLoad: String,
    val rateLimit: String,
    val leaving: String,
    val responseSignature: String,
    val failedInstance: String,
) {
    /** The headers of a caller's request that the gateway sets itself, or does not forward. */
    internal val replaced: List<AsciiString> =
        listOf(deadlineRemaining, expectedInstance, priority, organisation, apiKey, lastEventId).map { AsciiString(it) }
}
