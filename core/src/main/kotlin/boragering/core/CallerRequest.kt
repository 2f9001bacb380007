package boragering.core

import kotlinx.collections.immutable.PersistentList

/**
 * A request of an authenticated caller. For a model entry [path] is `/v1/chat/completions`; for a service it is the
 * path below the entry, including the query. [outputTokens] is the caller's stated limit, `null` when it stated none.
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
     * Serves [request] and passes the answer's parts to [receive] in order. The result says how it ended; when it is a
     * [RequestResult.Failed] and [RequestResult.Failed.started] is false, the caller has received nothing yet.
     */
    suspend fun serve(request: CallerRequest, receive: suspend (AnswerPart) -> Unit): RequestResult
}

/** How a request ended. */
sealed interface RequestResult {
    /** The caller received the whole answer. */
    data object Complete : RequestResult

    /** The caller did not receive a whole answer. [started] says whether parts of one were passed on. */
    data class Failed(val problem: Problem, val started: Boolean) : RequestResult
}

/**
 * What a caller is told about a request that failed. [status] is the HTTP status; [retryAfterSeconds] is present
 * whenever the caller should come back.
 */
data class Problem(
    val kind: ProblemKind,
    val status: Int,
    val detail: String,
    val outcome: Outcome,
    val retryAfterSeconds: Int? = null,
)

/** Whether a failed request was run by a target. */
enum class Outcome(val wireName: String) {
    /** It is certain that no target ran it and that none will. */
    NOT_RUN("not-run"),

    /** A target ran it. */
    RAN("ran"),

    /** It may or may not have run, or may still run. */
    UNKNOWN("unknown"),
}

/** Kinds of problems; [wireName] ends the problem's type URI. */
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
