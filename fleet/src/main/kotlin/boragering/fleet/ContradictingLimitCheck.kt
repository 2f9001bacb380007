package boragering.fleet

import boragering.core.Severity
import boragering.fleet.ConfigurationField.ATTEMPTS
import boragering.fleet.ConfigurationField.COLD_RATE
import boragering.fleet.ConfigurationField.COLD_TIME
import boragering.fleet.ConfigurationField.HEADER_TIMEOUT
import boragering.fleet.ConfigurationField.LOADS_AT_ONCE
import boragering.fleet.ConfigurationField.MODELS
import boragering.fleet.ConfigurationField.PRIORITY
import boragering.fleet.ConfigurationField.TARGET_GAP
import boragering.fleet.ConfigurationField.TARGET_LATENCY
import kotlin.time.Duration

/** Finds limits that are valid by themselves but contradict another value. */
internal object ContradictingLimitCheck {
    /** Tolerance for the rounding of shares such as three times 0.3333334. */
    private const val SHARE_TOLERANCE = 1e-6

    fun findings(stated: StatedConfiguration): List<ConfigurationFinding> =
        stated.routes.flatMapIndexed { position, route -> route(position, route) } +
            stated.services.flatMapIndexed { position, service -> coldStart(position, service) } +
            stated.services.flatMapIndexed { position, service -> engine(position, service) } +
            callers(stated.configuration.limits) + lonePriorities(stated)

    private fun route(position: Int, stated: StatedRoute): List<ConfigurationFinding> {
        val part = ConfigurationPart.OfRoute(position)
        val route = stated.route
        val limit = "at most ${route.timeout}"
        val rerun = "is above 1: requests of this kind are sent again only if a target says that it has not run them"
        return listOfNotNull(
            warning(part, TARGET_LATENCY, "is above the route's timeout", limit)
                .takeIf { above(route.targetLatency, route) },
            warning(part, TARGET_GAP, "is above the route's timeout", limit)
                .takeIf { route.targetGap != null && above(route.targetGap, route) },
            ConfigurationFinding(Severity.NOTICE, part, ATTEMPTS, rerun)
                .takeIf { stated.attempts > 1 && !route.repeatability.repeatable },
        )
    }

    private fun above(time: Duration, route: Route) = time > route.timeout

    private fun coldStart(position: Int, service: StatedService): List<ConfigurationFinding> {
        val part = ConfigurationPart.OfService(position)
        val timed = service.coldTime.isPositive()
        val limited = service.coldRate > 0
        return listOfNotNull(
            warning(part, COLD_TIME, "has no effect without a rate for cold instances", "both or neither")
                .takeIf { timed && !limited },
            warning(part, COLD_RATE, "has no effect without the time that instances are cold", "both or neither")
                .takeIf { limited && !timed },
        )
    }

    private fun engine(position: Int, service: StatedService): List<ConfigurationFinding> {
        val engine = service.profile.engine ?: return emptyList()
        val part = ConfigurationPart.OfEngine(position)
        val sum = service.models.sumOf { it.share }
        return listOfNotNull(
            warning(part, LOADS_AT_ONCE, "is below 1, although groups must load weights", "1 or more")
                .takeIf { engine.loadsAtOnce < 1 },
            warning(part, MODELS, "have shares whose sum is above 1", "a sum of at most 1")
                .takeIf { sum > 1 + SHARE_TOLERANCE },
        )
    }

    private fun callers(limits: CallerLimits) = listOfNotNull(
        warning(
            ConfigurationPart.Limits,
            HEADER_TIMEOUT,
            "is above the idle timeout: a header may take longer than a connection may be idle",
            "at most ${limits.idleTimeout}",
        ).takeIf { limits.headerTimeout > limits.idleTimeout },
    )

    private fun lonePriorities(stated: StatedConfiguration): List<ConfigurationFinding> {
        val positions = stated.routes.flatMapIndexed { position, route ->
            route.route.split.map { it.service }.distinct().map { it to position }
        }.groupBy({ it.first }, { it.second })
        return positions.mapNotNull { (service, routes) ->
            routes.singleOrNull { stated.routes[it].statesPriority }?.takeIf { routes.size > 1 }?.let {
                val message = "is stated by this route alone of the ${routes.size} routes to '$service'"
                warning(ConfigurationPart.OfRoute(it), PRIORITY, message, "all of these routes or none")
            }
        }
    }

    private fun warning(part: ConfigurationPart, field: ConfigurationField, message: String, expected: String) =
        ConfigurationFinding(Severity.WARNING, part, field, message, expected)
}
