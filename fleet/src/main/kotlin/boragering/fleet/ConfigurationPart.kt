package boragering.fleet

/** A part of a configuration document. Positions start at 0 and follow the order of the document. */
sealed interface ConfigurationPart {
    /** The document itself. */
    data object Document : ConfigurationPart

    /** The limits for callers' requests. */
    data object Limits : ConfigurationPart

    /** The route at position [route]. */
    data class OfRoute(val route: Int) : ConfigurationPart

    /** The service at position [part] of the split of the route at position [route]. */
    data class OfSplit(val route: Int, val part: Int) : ConfigurationPart

    /** The service at position [service]. */
    data class OfService(val service: Int) : ConfigurationPart

    /** The engine of the service at position [service]. */
    data class OfEngine(val service: Int) : ConfigurationPart

    /** The model at position [model] of the service at position [service]. */
    data class OfModel(val service: Int, val model: Int) : ConfigurationPart

    /** The organisation at position [organisation]. */
    data class OfOrganisation(val organisation: Int) : ConfigurationPart
}
