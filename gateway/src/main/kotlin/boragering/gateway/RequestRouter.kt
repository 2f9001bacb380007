package boragering.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import boragering.core.OrganisationName
import boragering.core.RequestId
import boragering.fleet.ModelName
import boragering.fleet.Organisation
import boragering.fleet.PromptPart
import boragering.fleet.Route
import boragering.fleet.RouteTable
import boragering.fleet.ServiceProfile
import boragering.fleet.SharedPart
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.collections.immutable.PersistentList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request that is valid and matches a route of the configuration.
 *
 * @property deadline the earlier of the deadlines of the caller and the route, by the monotonic clock.
 * @property callerDeadline the deadline of the caller, by the monotonic clock.
 * @property promptParts the parts of the prompt that other requests may share.
 * @property priority priority at the engine; 0 is the most urgent.
 */
internal data class RoutedRequest(
    val id: RequestId,
    val received: ReceivedRequest,
    val route: Route,
    val service: ServiceProfile,
    val organisation: OrganisationName?,
    val arrivedAt: Duration,
    val deadline: Duration,
    val callerDeadline: Duration,
    val priority: Int,
    val model: ModelName?,
    val promptParts: PersistentList<PromptPart>,
    val lastEventId: Long?,
) {
    /** The [promptParts] as parts of prompts that are sent to the [service]. */
    val sharedParts: PersistentList<SharedPart> = SharedPart.of(service.name, promptParts)
}

/** Validates requests, checks their API keys and chooses their routes and services. Has no side effects. */
internal class RequestRouter(private val headerNames: HeaderNames, private val random: Random) {
    /** Routes a request that arrived at [now] by [routes], or returns the refusal. */
    fun route(received: ReceivedRequest, routes: RouteTable, now: Duration): Either<Refusal, RoutedRequest> = either {
        val headers = received.headers
        val host = headers.getAll(HttpHeaderNames.HOST).singleOrNull()
        ensureNotNull(host) { Refusal.Malformed("one host header is needed") }
        val route = ensureNotNull(routes.route(host, received.path)) { Refusal.NoRoute() }
        val organisation = organisation(received, route, routes).bind()
        val id = headers.getAll(headerNames.requestId).singleOrNull()
        ensureNotNull(id) { Refusal.Malformed("one request id is needed") }
        val timeLeft = headers.get(headerNames.deadlineRemaining)?.trim()?.toLongOrNull()?.milliseconds ?: route.timeout
        ensure(timeLeft > Duration.ZERO) { Refusal.Unavailable("no time is left", retryAfter = null) }
        val service = ensureNotNull(chooseService(route, routes)) {
            Refusal.Unavailable("no service is configured", Refusal.soon(random))
        }
        RoutedRequest(
            id = RequestId(id),
            received = received,
            route = route,
            service = service,
            organisation = organisation?.name,
            arrivedAt = now,
            deadline = now + minOf(timeLeft, route.timeout),
            callerDeadline = now + timeLeft,
            priority = organisation?.priority ?: route.priority,
            model = headers.get(headerNames.model)?.let { ModelName(it.trim()) },
            promptParts = PromptPart.shared(headers.getAll(headerNames.promptParts)),
            lastEventId = headers.get(headerNames.lastEventId)?.trim()?.toLongOrNull(),
        )
    }

    private fun organisation(
        received: ReceivedRequest,
        route: Route,
        routes: RouteTable,
    ): Either<Refusal, Organisation?> {
        if (route.public || !routes.requiresKeys) return Either.Right(null)
        val key = received.headers.getAll(headerNames.apiKey).singleOrNull()
        return routes.organisation(key)?.right() ?: Refusal.UnknownKey().left()
    }

    private fun chooseService(route: Route, routes: RouteTable): ServiceProfile? {
        val total = route.split.sumOf { it.weight }
        var point = random.nextDouble() * total
        val chosen = route.split.firstOrNull { part ->
            point -= part.weight
            point < 0
        } ?: route.split.lastOrNull()
        return chosen?.let { routes.service(it.service) }
    }
}
