package boragering.core

import kotlinx.collections.immutable.PersistentList

/**
 * A request of an authenticated caller. For a model entry [path] is `/v1/chat/completions`; for a service it is the
 * path below the entry, including the query. [outputTokens] is the caller's limit on output tokens, or
 * `null` when the request has none.
 */
data class CallerRequest(
    val id: RequestId,
    val organisation: OrganisationName,
    val entry: EntryName,
    val method: String,
    val path: String,
    val headers: PersistentList<Header>,
    val body: Bytes,
    val idempotencyKey: String?,
    val outputTokens: Int?,
)

/** Serves callers' requests. */
fun interface RequestService {
    /**
     * Serves [request] and passes the parts of the answer to [receive] in order. The result says how the request ended.
     * When it is a [RequestResult.Failed] whose [RequestResult.Failed.started] is false, the caller has received
     * nothing yet.
     */
    suspend fun serve(request: CallerRequest, receive: suspend (AnswerPart) -> Unit): RequestResult
}

/** How a request ended. */
sealed interface RequestResult {
    /** The caller received the whole answer. */
    data object Complete : RequestResult

    /** The caller did not receive a whole answer. [started] says whether parts of the answer were passed on. */
    data class Failed(val problem: Problem, val started: Boolean) : RequestResult
}

/**
 * The error that a caller receives for a failed request. [status] is the HTTP status; [retryAfterSeconds] is present
 * whenever the caller should retry.
 */
data class Problem(
    val kind: ProblemKind,
    val status: Int,
    val detail: String,
    val outcome: Outcome,
    val retryAfterSeconds: Int? = null,
)

/** States whether a target ran a failed request. */
enum class Outcome(val wireName: String) {
    /** No target has run the request, and none will. */
    NOT_RUN("not-run"),

    /** A target ran the request. */
    RAN("ran"),

    /** The request may have run, or may still run. */
    UNKNOWN("unknown"),
}

/** Kinds of problems; [wireName] is the last part of the problem's type URI. */
enum class ProblemKind(val wireName: String) {
    UNKNOWN_ENTRY("unknown-entry"),
    UNKNOWN_ROUTE("unknown-route"),
    INVALID_REQUEST("invalid-request"),
    KEY_REQUIRED("idempotency-key-required"),
    KEY_REUSED("idempotency-key-reused"),
    KEY_EXPIRED("idempotency-key-expired"),
    DUPLICATE("duplicate-request"),
    RATE_LIMITED("rate-limited"),
    OVERLOADED("overloaded"),
    NO_TARGET("no-target"),
    STORE_UNAVAILABLE("store-unavailable"),
    DEADLINE_EXCEEDED("deadline-exceeded"),
    TARGET_FAILED("target-failed"),
    DRAINING("draining"),
    NOT_READY("not-ready"),
}
