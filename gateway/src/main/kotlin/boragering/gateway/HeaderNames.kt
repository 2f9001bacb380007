package boragering.gateway

/**
 * The names that headers have for a deployment's callers and instances. Names are compared without regard to case.
 *
 * @property requestId identifies one request of a caller; instances repeat it in their answers.
 * @property deadlineRemaining milliseconds that the caller still waits.
 * @property apiKey the caller's key; it is never passed on.
 * @property organisation name of the organisation that holds the key; set by the gateway only.
 * @property expectedInstance id of the instance that a request is meant for; another one does not run it.
 * @property priority urgency of the request for the engine, 0 first.
 * @property lastEventId id of the last event that the caller has of a stream.
 * @property model name of the model that the request asks for.
 * @property notExecuted present in an answer that states that the request was not run and will not be.
 * @property serverLoad requests that run, requests that wait, and slots of an instance, separated by commas.
 * @property responseSignature marks an answer as an instance's own.
 * @property failedInstance id of the instance because of which a request was refused.
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
    val notExecuted: String,
    val serverLoad: String,
    val responseSignature: String,
    val failedInstance: String,
)
