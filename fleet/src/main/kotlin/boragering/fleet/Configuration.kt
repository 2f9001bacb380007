package boragering.fleet

import boragering.core.OrganisationName
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/** The name of a service, which is a pool of instances that serve the same requests. */
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** The name of a model that groups of instances load and serve. */
@JvmInline
value class ModelName(val value: String) {
    override fun toString(): String = value
}

/**
 * The configuration that operators have activated for a gateway. A higher [version] completely replaces a lower one.
 *
 * @property organisations who may send requests; `null` when requests carry no keys.
 */
data class Configuration(
    val version: Long,
    val routes: PersistentList<Route>,
    val services: PersistentMap<ServiceName, ServiceProfile>,
    val limits: CallerLimits,
    val organisations: PersistentList<Organisation>? = null,
)

/** Whether instances may execute a request more than once. */
enum class Repeatability {
    /** The request may be executed any number of times. */
    IDEMPOTENT,

    /** The request may be executed at most once. */
    NON_IDEMPOTENT,

    /** The request may be executed again only to resume after the last event that the caller received. */
    RESUMABLE_STREAM,

    /** The request may be executed at most once, and its answer is a stream of events. */
    SINGLE_STREAM,

    ;

    /** Whether a request that may have run can be sent to another target. */
    val repeatable: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM

    /** Whether answers are streams of events. */
    val stream: Boolean get() = this == RESUMABLE_STREAM || this == SINGLE_STREAM
}

/**
 * Sends the requests of one host whose path begins with [prefix] to services.
 *
 * @property split services with their weights.
 * @property attempts maximum number of targets to which one request may be sent.
 * @property timeout maximum time until the final answer.
 * @property targetLatency time until the first event or the whole answer within which a request counts as on time.
 * @property targetGap longest pause between events within which a stream counts as on time.
 * @property priority rank of the requests, 0 first.
 * @property public whether requests need no key.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val repeatability: Repeatability,
    val split: PersistentList<WeightedService>,
    val attempts: Int,
    val timeout: Duration,
    val targetLatency: Duration,
    val targetGap: Duration? = null,
    val priority: Int = 0,
    val public: Boolean = false,
)

/** A service and its share of a route's requests. */
data class WeightedService(val service: ServiceName, val weight: Double)

/**
 * The configuration of a service.
 *
 * @property connections number of open connections that one instance accepts from all gateways together.
 * @property engine the profile of the pool's model engines, whose requests go to groups of instances; `null` for other
 * services.
 * @property coldStart how instances behave after a start; `null` if they are never cold.
 */
data class ServiceProfile(
    val name: ServiceName,
    val connections: Int,
    val healthPath: String? = null,
    val engine: EngineProfile? = null,
    val coldStart: ColdStartProfile? = null,
)

/**
 * The capacity and timing of the engines of a pool.
 *
 * @property slots requests that one group runs concurrently.
 * @property loadsPerSecond weight loads that may start per second in the whole pool.
 * @property loadsAtOnce number of concurrent weight loads above which each load takes proportionally longer.
 * @property formationTime time from the order to open the head of a complete group until the group serves.
 * @property reportLag age of the data that engines report about themselves.
 * @property delays the delays between availability zones; `null` if they are not configured.
 * @property crossDomainSlowdown how many times slower a group runs whose members are in different fabric domains, 1 or
 * more; `null` if it is not configured, so that no such groups are formed.
 */
data class EngineProfile(
    val slots: Int,
    val models: PersistentMap<ModelName, ModelProfile> = persistentMapOf(),
    val loadsPerSecond: Double,
    val loadsAtOnce: Int,
    val formationTime: Duration,
    val reportLag: Duration = Duration.ZERO,
    val delays: ZoneDelays? = null,
    val crossDomainSlowdown: Double? = null,
)

/**
 * The profile of one model of a pool.
 *
 * @property groupSize number of instances that serve one replica together.
 * @property share the model's expected share of the pool's work, from 0 to 1.
 * @property loadTime time to load the weights from the weight store.
 * @property warmupTime time to load the weights when they are staged on the host.
 */
data class ModelProfile(
    val name: ModelName,
    val groupSize: Int,
    val share: Double,
    val loadTime: Duration,
    val warmupTime: Duration,
) {
    /** The [share], raised to at least [SMALLEST_SHARE] so that it can be used as a divisor. */
    internal val weight: Double get() = share.coerceAtLeast(SMALLEST_SHARE)

    /** The number of a domain's [usable] instances that the model's groups should have, by its share of the work. */
    internal fun instancesInGroups(usable: Int): Int = (share * usable / groupSize + ROUNDING).toInt() * groupSize

    private companion object {
        /** Rounding offset: a domain should have one more group if at least 0.7 of a group remains. */
        const val ROUNDING = 0.3
        const val SMALLEST_SHARE = 0.01
    }
}

/** Limits for the size and the duration of callers' requests. Sizes are in bytes. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** An organisation and the API keys of its callers. If [priority] is set, it overrides the route's priority. */
data class Organisation(
    val name: OrganisationName,
    val keys: PersistentSet<String>,
    val priority: Int? = null,
)
