package boragering.fleet

import boragering.core.Severity
import boragering.fleet.ConfigurationField.KEYS
import boragering.fleet.ConfigurationField.NAME
import boragering.fleet.ConfigurationField.SERVICE

/** Finds names that are not unique, and references that lead nowhere. */
internal object ReferenceCheck {
    fun findings(stated: StatedConfiguration): List<ConfigurationFinding> =
        routeNames(stated) + serviceNames(stated) + organisationNames(stated) + targets(stated) + sharedKeys(stated)

    private fun routeNames(stated: StatedConfiguration) = stated.routes.repeatedPositions { it.route.name }
        .map { error(ConfigurationPart.OfRoute(it), NAME, "is the name of an earlier route", "a unique name") }

    private fun serviceNames(stated: StatedConfiguration): List<ConfigurationFinding> {
        val services = stated.services.repeatedPositions { it.profile.name }.map {
            error(ConfigurationPart.OfService(it), NAME, "replaces an earlier service of this name", "a unique name")
        }
        val models = stated.services.flatMapIndexed { position, service ->
            service.models.repeatedPositions { it.name }.map {
                val part = ConfigurationPart.OfModel(position, it)
                error(part, NAME, "replaces an earlier model of this name", "a unique name")
            }
        }
        return services + models
    }

    private fun organisationNames(stated: StatedConfiguration) =
        stated.configuration.organisations.orEmpty().repeatedPositions { it.name }.map {
            val part = ConfigurationPart.OfOrganisation(it)
            error(part, NAME, "is the name of an earlier organisation", "a unique name")
        }

    private fun targets(stated: StatedConfiguration) = stated.routes.flatMapIndexed { position, (route) ->
        val unknown = route.split.indices.filter { route.split[it].service !in stated.configuration.services }.map {
            val part = ConfigurationPart.OfSplit(position, it)
            error(part, SERVICE, "is '${route.split[it].service}', which is not configured", "a configured service")
        }
        val none = error(ConfigurationPart.OfRoute(position), SERVICE, "is missing", "one service or a split")
        if (route.split.isEmpty()) listOf(none) else unknown
    }

    private fun sharedKeys(stated: StatedConfiguration): List<ConfigurationFinding> {
        val organisations = stated.configuration.organisations.orEmpty()
        val holders = HashMap<String, Organisation>()
        return organisations.flatMapIndexed { position, organisation ->
            organisation.keys.mapNotNull { key ->
                holders.putIfAbsent(key, organisation)?.let { holder ->
                    val message = "contain ${KeyMask.of(key)}, a key that '${holder.name}' holds as well"
                    error(ConfigurationPart.OfOrganisation(position), KEYS, message, "keys of one organisation")
                }
            }
        }
    }

    private fun error(part: ConfigurationPart, field: ConfigurationField, message: String, expected: String) =
        ConfigurationFinding(Severity.ERROR, part, field, message, expected)
}
