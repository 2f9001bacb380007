package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.fleet.Configuration
import boragering.fleet.GatewayRetryBudget
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.RetryLimits
import boragering.fleet.RouteTable
import boragering.fleet.ServiceName
import boragering.fleet.ServiceProfile
import boragering.fleet.TargetChoice
import boragering.fleet.TargetIndex
import boragering.fleet.TargetTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a gateway.
 *
 * @property connectTimeout time after which a connection to a target counts as refused.
 * @property maxCallers connections of callers; beyond that, an idle one is closed for each new one.
 */
data class GatewaySettings(
    val availabilityZone: AvailabilityZone,
    val headerNames: HeaderNames,
    val retries: RetryLimits,
    val connectTimeout: Duration = 400.milliseconds,
    val maxCallers: Int = DEFAULT_MAX_CALLERS,
) {
    private companion object {
        const val DEFAULT_MAX_CALLERS = 2_000
    }
}

/**
 * What a gateway uses of its surroundings; [gatewayCount] tells how many gateways serve the deployment now, and
 * [onSuspicion] is told of targets that seem to have failed.
 */
class GatewayPorts(
    val loop: GatewayLoop,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val random: Random,
    val gatewayCount: () -> Int,
    val onSuspicion: (InstanceStart) -> Unit = {},
)

/** What a gateway knows and shares between its requests. Used on the event loop only. */
internal class GatewayState(val settings: GatewaySettings, val ports: GatewayPorts) {
    private val retryAllowances = HashMap<ServiceName, GatewayRetryBudget>()
    private val pools =
        ConnectionPoolContext(ports.loop, settings.connectTimeout) { ports.metrics.recordAttempt("connect") }
    private var profiles = emptyMap<ServiceName, ServiceProfile>()
    private var instanceList: InstanceList? = null
    private val targetBook = TargetIndex()
    private val startupActions = ArrayList<() -> Unit>()
    private val startedAt = now()

    /** Whether the process has just started, so that what to serve is about to be known. */
    var starting = true
        private set

    val headerNames: HeaderNames get() = settings.headerNames
    val log: DecisionLog get() = ports.log
    val usages = TargetUsages(pools, headerNames.requestId)
    val targetChoice = TargetChoice(settings.availabilityZone, ports.random)
    val exchanges = LinkedHashSet<Exchange>()

    /** The routes in force; `null` before the first configuration is known. */
    var routes: RouteTable? = null
        private set

    /** The targets that may get requests. */
    var targets = TargetTable.EMPTY
        private set

    /** Whether the process is about to stop. */
    var draining = false

    /** Whether requests can be served: configuration and instances are known. */
    val ready: Boolean get() = routes != null && instanceList != null && !draining

    fun now(): Duration = ports.loop.now()

    /** Calls [action] once the start is over. */
    fun runAfterStartup(action: () -> Unit) {
        if (starting) startupActions += action else action()
    }

    /** Ends the start, whether or not it is known what to serve. */
    fun endStartup() {
        starting = false
        startupActions.toList().also { startupActions.clear() }.forEach { it() }
    }

    fun retryAllowance(service: ServiceName): GatewayRetryBudget =
        retryAllowances.getOrPut(service) { GatewayRetryBudget(settings.retries, startedAt) }

    fun configure(configuration: Configuration) {
        routes = RouteTable(configuration)
        profiles = configuration.services
        refresh()
    }

    fun updateInstances(known: InstanceList) {
        instanceList = known
        refresh()
    }

    /** Counts the target of [attempt] as failed, and tells other gateways if it did not before. */
    fun suspect(attempt: TargetAttempt) {
        if (!attempt.usage.markSuspected(now())) return
        log.event("target-suspected", "target" to attempt.target.head, "group" to attempt.target.group)
        if (attempt.target.group != null) ports.onSuspicion(attempt.target.head)
    }

    /** The target of [attempt] said that it is not the one that was meant: it has ended, or its group has. */
    fun onMisdirected(attempt: TargetAttempt) {
        attempt.usage.markAway(now())
        log.event("target-away", "target" to attempt.target.head, "group" to attempt.target.group)
        if (attempt.target.group != null) ports.onSuspicion(attempt.target.head)
    }

    /** Another gateway counts [head] as failed; without streams of its own this one cannot see that. */
    fun onPeerSuspicion(head: InstanceStart) {
        val target = targets.all.firstOrNull { it.head == head } ?: return
        val usage = usages.of(target)
        if (!usage.recentlyActive(now())) usage.markSuspected(now())
    }

    private fun refresh() {
        val known = instanceList ?: return
        targets = targetBook.update(known, profiles)
        usages.retain(targets)
        if (routes != null && starting) endStartup()
    }
}
