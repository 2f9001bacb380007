package boragering.fleet

import boragering.core.Severity
import boragering.fleet.ConfigurationField.GROUP_SIZE
import boragering.fleet.ConfigurationField.HOST
import boragering.fleet.ConfigurationField.KEYS
import boragering.fleet.ConfigurationField.NAME
import boragering.fleet.ConfigurationField.PREFIX
import boragering.fleet.ConfigurationField.SHARE
import boragering.fleet.ConfigurationField.WEIGHT
import java.util.Locale

/** Finds entries that no request, no caller or no instance can ever match. */
internal object UnmatchedEntryCheck {
    /** Fabric domains are far smaller, so that a larger group could never be complete. */
    private const val LARGEST_GROUP = 1_024

    fun findings(stated: StatedConfiguration): List<ConfigurationFinding> =
        hiddenRoutes(stated) + addresses(stated) + zeroWeights(stated) + unreachableServices(stated) +
            models(stated) + organisations(stated)

    private fun hiddenRoutes(stated: StatedConfiguration): List<ConfigurationFinding> {
        val last = stated.routes.withIndex().associate { (position, stated) -> address(stated.route) to position }
        return stated.routes.indices.filter { last[address(stated.routes[it].route)] != it }.map {
            val winner = stated.routes[last.getValue(address(stated.routes[it].route))].route.name
            val message = "never matches: the later route '$winner' has the same host and prefix"
            warning(ConfigurationPart.OfRoute(it), PREFIX, message, "a prefix that no other route of the host has")
        }
    }

    private fun address(route: Route) = route.host.lowercase(Locale.ROOT) to route.prefix

    private fun addresses(stated: StatedConfiguration) = stated.routes.flatMapIndexed { position, (route) ->
        val part = ConfigurationPart.OfRoute(position)
        listOfNotNull(
            warning(part, HOST, "never matches: lookups leave out the port", "a host name without a port")
                .takeIf { ':' in route.host },
            warning(part, PREFIX, "never matches: lookups split a path at its slashes", "a path from '/' to '/'")
                .takeUnless { route.prefix.startsWith('/') && route.prefix.endsWith('/') },
        )
    }

    private fun zeroWeights(stated: StatedConfiguration) = stated.routes.flatMapIndexed { position, (route) ->
        route.split.indices.filter { route.split[it].weight == 0.0 }.map {
            val part = ConfigurationPart.OfSplit(position, it)
            warning(part, WEIGHT, "is 0, so that the service gets no requests of this route", "more than 0")
        }
    }

    private fun unreachableServices(stated: StatedConfiguration): List<ConfigurationFinding> {
        val reached = stated.routes.flatMap { it.route.split }.map { it.service }.toSet()
        return stated.services.indices.filter { stated.services[it].profile.name !in reached }
            .map { warning(ConfigurationPart.OfService(it), NAME, "is not the service of any route", "a route to it") }
    }

    private fun models(stated: StatedConfiguration) = stated.services.flatMapIndexed { position, service ->
        service.models.flatMapIndexed { index, model ->
            val part = ConfigurationPart.OfModel(position, index)
            listOfNotNull(
                warning(part, GROUP_SIZE, "is not a usable group size: the model is not served", "1 to $LARGEST_GROUP")
                    .takeUnless { model.groupSize in 1..LARGEST_GROUP },
                warning(part, SHARE, "is 0, so that no group is wanted for the model", "more than 0")
                    .takeIf { model.share == 0.0 },
            )
        }
    }

    private fun organisations(stated: StatedConfiguration): List<ConfigurationFinding> {
        val organisations = stated.configuration.organisations.orEmpty()
        return organisations.indices.filter { organisations[it].keys.isEmpty() }
            .map { warning(ConfigurationPart.OfOrganisation(it), KEYS, "are missing: no caller matches", "a key") }
    }

    private fun warning(part: ConfigurationPart, field: ConfigurationField, message: String, expected: String) =
        ConfigurationFinding(Severity.WARNING, part, field, message, expected)
}
