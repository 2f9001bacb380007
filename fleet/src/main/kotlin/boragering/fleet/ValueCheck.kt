package boragering.fleet

import boragering.core.Severity
import boragering.fleet.ConfigurationField.ATTEMPTS
import boragering.fleet.ConfigurationField.SHARE
import boragering.fleet.ConfigurationField.TARGET_GAP
import boragering.fleet.ConfigurationField.TARGET_LATENCY
import boragering.fleet.ConfigurationField.TIMEOUT
import boragering.fleet.ConfigurationField.WEIGHT
import kotlin.time.Duration

/** Finds values outside their range, which gateways replace or cannot use. */
internal object ValueCheck {
    fun findings(stated: StatedConfiguration): List<ConfigurationFinding> =
        stated.routes.flatMapIndexed { position, route -> route(position, route) + weights(position, route.route) } +
            stated.services.flatMapIndexed { position, service -> shares(position, service) } +
            stated.services.flatMapIndexed { position, service -> counts(position, service) } +
            limits(stated.configuration.limits)

    private fun route(position: Int, stated: StatedRoute): List<ConfigurationFinding> {
        val part = ConfigurationPart.OfRoute(position)
        val route = stated.route
        return listOfNotNull(
            positive(part, TIMEOUT, route.timeout),
            positive(part, TARGET_LATENCY, route.targetLatency),
            route.targetGap?.let { positive(part, TARGET_GAP, it) },
            count(part, ATTEMPTS, stated.attempts),
        )
    }

    private fun weights(position: Int, route: Route): List<ConfigurationFinding> {
        val negative = route.split.indices.filter { route.split[it].weight < 0 }
            .map { error(ConfigurationPart.OfSplit(position, it), WEIGHT, "is negative", "0 or more") }
        val allZero = route.split.isNotEmpty() && route.split.all { it.weight == 0.0 }
        val noWeight = error(
            ConfigurationPart.OfRoute(position),
            null,
            "has a split without a positive weight, so that its last service gets all requests",
            "a weight above 0",
        )
        return negative + listOf(noWeight).filter { allZero }
    }

    private fun shares(position: Int, service: StatedService) = service.models.indices
        .filterNot { service.models[it].share in 0.0..1.0 }
        .map { error(ConfigurationPart.OfModel(position, it), SHARE, "is outside its range", "0 to 1") }

    private fun limits(limits: CallerLimits) = listOfNotNull(
        count(ConfigurationPart.Limits, ConfigurationField.HEADER_BYTES, limits.headerBytes),
        count(ConfigurationPart.Limits, ConfigurationField.BODY_BYTES, limits.bodyBytes),
        positive(ConfigurationPart.Limits, ConfigurationField.HEADER_TIMEOUT, limits.headerTimeout),
        positive(ConfigurationPart.Limits, ConfigurationField.IDLE_TIMEOUT, limits.idleTimeout),
    )

    private fun counts(position: Int, service: StatedService) = listOfNotNull(
        count(ConfigurationPart.OfService(position), ConfigurationField.CONNECTIONS, service.profile.connections),
        service.profile.engine?.let { count(ConfigurationPart.OfEngine(position), ConfigurationField.SLOTS, it.slots) },
    )

    private fun count(part: ConfigurationPart, field: ConfigurationField, value: Int): ConfigurationFinding? =
        error(part, field, "is below 1", "1 or more").takeIf { value < 1 }

    private fun positive(part: ConfigurationPart, field: ConfigurationField, value: Duration): ConfigurationFinding? =
        error(part, field, "is not a positive time", "more than 0").takeUnless { value.isPositive() }

    private fun error(part: ConfigurationPart, field: ConfigurationField?, message: String, expected: String) =
        ConfigurationFinding(Severity.ERROR, part, field, message, expected)
}
