package boragering.fleet

import java.util.Locale

/** Finds the route and the organisation of a request. The cost of a lookup is independent of the number of routes. */
class RouteTable(private val configuration: Configuration) {
    private val hosts: Map<String, Map<String, Route>> =
        configuration.routes.groupBy { it.host.lowercase(Locale.ROOT) }
            .mapValues { (_, routes) -> routes.associateBy { it.prefix } }
    private val organisations: Map<String, Organisation> =
        configuration.organisations.orEmpty()
            .flatMap { organisation -> organisation.keys.map { it to organisation } }
            .toMap()
    private val prioritisedServices: Set<ServiceName> =
        configuration.routes.flatMap { route -> route.split.map { it.service to route.priority } }
            .groupBy({ it.first }, { it.second })
            .filterValues { it.distinct().size > 1 }
            .keys

    /** The version of the configuration. */
    val version: Long get() = configuration.version

    /** The limits for callers' requests. */
    val limits: CallerLimits get() = configuration.limits

    /** Whether requests need an API key on routes that are not public. */
    val requiresKeys: Boolean get() = configuration.organisations != null

    /** The profiles of all services. */
    val services: Collection<ServiceProfile> get() = configuration.services.values

    /** Returns the profile of the service; `null` if no service of that name is configured. */
    fun service(name: ServiceName): ServiceProfile? = configuration.services[name]

    /** Whether routes of different priority lead to [service], so that urgency and shares decide about its capacity. */
    fun prioritises(service: ServiceName): Boolean = service in prioritisedServices

    /**
     * Returns the route of [host] with the longest prefix that matches [path]; `null` if none matches. [host] is a host
     * name with or without a port.
     */
    fun route(host: String, path: String): Route? {
        val routes = hosts[hostName(host)] ?: return null
        var end = path.lastIndexOf('/')
        var found: Route? = null
        while (end >= 0 && found == null) {
            found = routes[path.substring(0, end + 1)]
            end = path.lastIndexOf('/', end - 1)
        }
        return found
    }

    /** Returns the organisation to which the API key [key] belongs; `null` if there is none. */
    fun organisation(key: String?): Organisation? = key?.let { organisations[it] }

    private fun hostName(host: String): String = host.substringBefore(':').lowercase(Locale.ROOT)
}
