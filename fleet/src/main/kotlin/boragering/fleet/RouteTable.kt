package boragering.fleet

import java.util.Locale

/** Finds the route and the organisation of a request. The cost of a look-up does not grow with the number of routes. */
class RouteTable(private val configuration: Configuration) {
    private val hosts: Map<String, Map<String, Route>> =
        configuration.routes.groupBy { it.host.lowercase(Locale.ROOT) }
            .mapValues { (_, routes) -> routes.associateBy { it.prefix } }
    private val organisations: Map<String, Organisation> =
        configuration.organisations.orEmpty()
            .flatMap { organisation -> organisation.keys.map { it to organisation } }
            .toMap()

    /** Version of the configuration. */
    val version: Long get() = configuration.version

    /** Limits towards callers. */
    val limits: CallerLimits get() = configuration.limits

    /** Whether requests of routes that are not public need a key. */
    val requiresKeys: Boolean get() = configuration.organisations != null

    /** The configured service; `null` when there is none of that name. */
    fun service(name: ServiceName): ServiceProfile? = configuration.services[name]

    /** The route with the longest prefix of [path] at [host], a host name with or without port. */
    fun route(host: String, path: String): Route? = hosts[hostName(host)]?.let { routes ->
        generateSequence(path.lastIndexOf('/')) { end -> path.lastIndexOf('/', end - 1) }
            .takeWhile { it >= 0 }
            .firstNotNullOfOrNull { end -> routes[path.substring(0, end + 1)] }
    }

    /** The organisation that holds [key]. */
    fun organisation(key: String?): Organisation? = key?.let { organisations[it] }

    private fun hostName(host: String): String = host.substringBefore(':').lowercase(Locale.ROOT)
}
