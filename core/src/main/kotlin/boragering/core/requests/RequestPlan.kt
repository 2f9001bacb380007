package boragering.core.requests

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.CallerRequest
import boragering.core.Candidate
import boragering.core.Header
import boragering.core.Problem
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry
import boragering.core.catalogue.Route
import boragering.core.catalogue.ServiceEntry
import boragering.core.catalogue.Urgency
import kotlin.time.Duration

/** A caller's request with the matching entry and settings from the catalogue. Times are monotonic. */
internal data class RequestPlan(
    val request: CallerRequest,
    val entry: Entry,
    val weight: Int,
    val repeatable: Boolean,
    val urgency: Urgency,
    val arrivedAt: Duration,
) {
    /** The time after which the request is abandoned. */
    val deadlineAt: Duration get() = arrivedAt + entry.limits.deadline
}

/** Finds the entry and the route of a request. */
internal object RequestPlanner {
    /** Returns the plan for [request], or why it cannot be served. */
    fun plan(catalogue: Catalogue, request: CallerRequest, now: Duration): Either<Problem, RequestPlan> {
        val entry = catalogue.entries[request.entry]
        val declaredRepeatable = entry?.let { repeatable(it, request) }
        val key = request.idempotencyKey
        return when {
            entry == null -> Problems.unknownEntry(request.entry).left()
            declaredRepeatable == null -> Problems.unknownRoute(request).left()
            key != null && (key.isBlank() || key.length > MAXIMUM_KEY_LENGTH) ->
                Problems.invalid("the Idempotency-Key must have 1 to $MAXIMUM_KEY_LENGTH characters").left()
            !declaredRepeatable && key == null -> Problems.keyRequired(request).left()
            else -> RequestPlan(
                request = request,
                entry = entry,
                weight = (catalogue.organisations[request.organisation]?.weight ?: 1).coerceAtLeast(1),
                repeatable = declaredRepeatable && key == null,
                urgency = urgency(entry, request),
                arrivedAt = now,
            ).right()
        }
    }

    /** The request's urgency. A caller may lower it below that of the entry's class, but may not raise it. */
    private fun urgency(entry: Entry, request: CallerRequest): Urgency {
        val stated = request.headers.firstOrNull { it.name.equals(RequestHeaders.PRIORITY, ignoreCase = true) }
        val wanted = stated?.value?.trim()?.toIntOrNull()?.let { Urgency.entries.getOrNull(it) }
        return minOf(wanted ?: entry.requestClass.urgency, entry.requestClass.urgency)
    }

    /** Whether the request is declared as repeatable, or `null` if no route matches. */
    private fun repeatable(entry: Entry, request: CallerRequest): Boolean? = when (entry) {
        is ModelEntry -> entry.requestClass.repeatable.takeIf {
            request.method == "POST" && request.path.substringBefore('?') == MODEL_PATH
        }
        is ServiceEntry -> route(entry.routes, request)?.repeatable
    }

    /**
     * The most specific matching route. Among equally specific routes, a non-repeatable one is preferred as the safe
     * choice.
     */
    private fun route(routes: List<Route>, request: CallerRequest): Route? = routes
        .filter { it.method == request.method && matches(it, request.path.substringBefore('?')) }
        .minWithOrNull(compareBy<Route> { it.path.split('/').count(::isParameter) }.thenBy { it.repeatable })

    private fun matches(route: Route, path: String): Boolean {
        val expected = route.path.split('/')
        val actual = path.split('/')
        return expected.size == actual.size &&
            expected.zip(actual).all { (wanted, given) ->
                if (isParameter(wanted)) isSafeSegment(given) else wanted == given
            }
    }

    private fun isParameter(segment: String): Boolean = segment.startsWith('{') && segment.endsWith('}')

    /**
     * Whether [segment] may match a route parameter. A target that decodes the path must not see a different number of
     * segments than the route was matched with.
     */
    private fun isSafeSegment(segment: String): Boolean {
        val decoded = segment.replace("%2e", ".", ignoreCase = true)
        return decoded !in setOf("", ".", "..") &&
            UNSAFE_IN_SEGMENT.none { segment.contains(it, ignoreCase = true) }
    }

    /** The path of all requests to models. */
    const val MODEL_PATH = "/v1/chat/completions"

    private const val MAXIMUM_KEY_LENGTH = 255
    private val UNSAFE_IN_SEGMENT = listOf("%2f", "%5c", "\\")
}

/** Names of headers that requests carry. */
internal object RequestHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val GROUP = "Boragering-Group"
    const val FENCE = "Boragering-Fence"
    const val PRIORITY = "Boragering-Priority"
    const val CONTENT_TYPE = "Content-Type"

    private val CONTENT_HEADERS = setOf("accept", "accept-language", "content-type", "content-language")

    /** The headers that are sent to [candidate] with [plan]'s request. */
    fun forTarget(plan: RequestPlan, candidate: Candidate): List<Header> {
        val content = plan.request.headers.filter { it.name.lowercase() in CONTENT_HEADERS }
        val identity = Header(REQUEST_ID, plan.request.id.value)
        return content + identity + when (plan.entry) {
            is ModelEntry -> listOf(
                Header(GROUP, candidate.group.value),
                Header(FENCE, candidate.fence.toString()),
                Header(PRIORITY, plan.urgency.ordinal.toString()),
            )
            is ServiceEntry -> listOfNotNull(plan.request.idempotencyKey?.let { Header(IDEMPOTENCY_KEY, it) })
        }
    }
}
