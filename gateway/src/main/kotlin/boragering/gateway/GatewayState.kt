package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.fleet.ColdAllowance
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
import boragering.fleet.ZoneEvacuations
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a gateway.
 *
 * @property connectTimeout time after which an attempt to connect to a target counts as failed.
 * @property maxCallers limit for connections of callers; above it, one connection is closed for each new one.
 * @property coldAllowance requests that a cold instance may get within one second.
 * @property zoneSpillover whether load and delays decide how many requests leave the zone, instead of a fixed cost.
 * @property bodyMemory memory for the bodies of all requests and responses in progress, in bytes.
 */
data class GatewaySettings(
    val availabilityZone: AvailabilityZone,
    val headerNames: HeaderNames,
    val retries: RetryLimits,
    val connectTimeout: Duration = 400.milliseconds,
    val maxCallers: Int = DEFAULT_MAX_CALLERS,
    val coldAllowance: ColdAllowance = ColdAllowance(overrun = 1.0, slack = 0.0),
    val zoneSpillover: Boolean = false,
    val bodyMemory: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE_FOR_BODIES,
) {
    private companion object {
        /** The part of the heap for bodies; as much again is needed while they are copied. */
        const val HEAP_SHARE_FOR_BODIES = 3
        const val DEFAULT_MAX_CALLERS = 2_000
    }
}

/** Dependencies of a gateway. [gatewayCount] returns how many gateways currently serve the deployment. */
class GatewayPorts(
    val loop: GatewayLoop,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val random: Random,
    val gatewayCount: () -> Int,
    val peers: PeerCallbacks = PeerCallbacks(),
)

/**
 * How a gateway tells others what it learns: [onSuspicion] is called with the head instance of each group that seems to
 * have failed, [quarantines] shares what it learns of prompts that crash targets, and [rates] what it learns of the
 * rates that targets take.
 */
class PeerCallbacks(
    val quarantines: () -> QuarantineLink = { QuarantineLink.None },
    val rates: () -> RateLink = { RateLink.None },
    val onSuspicion: (InstanceStart) -> Unit = {},
)

/** The state that all requests of a gateway share. Used on the event loop only. */
internal class GatewayState(val settings: GatewaySettings, val ports: GatewayPorts) {
    private val retryAllowances = HashMap<ServiceName, GatewayRetryBudget>()
    private val pools =
        ConnectionPoolContext(ports.loop, settings.connectTimeout) { ports.metrics.recordAttempt("connect") }
    private var profiles = emptyMap<ServiceName, ServiceProfile>()
    private var instanceList: InstanceList? = null
    private val targetBook = TargetIndex()
    private val evacuationLog = EvacuationLog(ports.log)
    private val startupActions = ArrayList<() -> Unit>()
    private val startedAt = now()

    /** Whether requests still wait for the first configuration and the first list of instances. */
    var starting = true
        private set

    val headerNames: HeaderNames get() = settings.headerNames
    val log: DecisionLog get() = ports.log
    val coldTargets = ColdTargets(settings, ports)
    val usages = TargetUsages(pools, responseIdentity(headerNames), ports, coldTargets)
    val targetChoice = TargetChoice(settings.availabilityZone, ports.random)
    val spillovers = ZoneSpillovers(settings, ports)
    val paceMonitor = PaceMonitor(this)
    val exchanges = LinkedHashSet<Exchange>()
    val promptGuard = PromptGuard(ports)
    val loopLag = LoopLag(startedAt)
    val bodyMemory = MemoryBudget(settings.bodyMemory, MemoryShortageLog(ports))
    val suspicions = TargetSuspicions(this)
    val statements = TargetStatements(this)
    val demand = DemandObserver(this)
    val admission = AdmissionControl(this)

    /** The routes of the current configuration; `null` before the first one is known. */
    var routes: RouteTable? = null
        private set

    /** The targets to which requests may be sent. */
    var targets = TargetTable.EMPTY
        private set

    /** The evacuated availability zones, and those that were reopened. */
    var evacuations = ZoneEvacuations()
        private set

    /** The drain of the gateway before the process stops; `null` before it begins. */
    var drain: GatewayDrain? = null

    /** Whether the gateway is being drained before the process stops. */
    val draining: Boolean get() = drain != null

    /** Whether requests can be served: configuration and instances are known, and the gateway is not draining. */
    val ready: Boolean get() = routes != null && instanceList != null && !draining

    fun now(): Duration = ports.loop.now()

    private fun responseIdentity(names: HeaderNames) = ResponseIdentity(names.requestId, names.responseSignature)

    /** Calls [action] now, or at the end of the startup if that has not ended. */
    fun runAfterStartup(action: () -> Unit) {
        if (starting) startupActions += action else action()
    }

    /**
     * Calls [action] now or, if the loop runs late, after what has arrived meanwhile was read, so that [action] knows
     * whether its caller has left.
     */
    fun runAfterLateEvents(action: () -> Unit) {
        // What is due when this turn has read all connections would be called before the next turn reads them again.
        if (loopLag.late(now())) ports.loop.execute { ports.loop.after(LATE_READ_TIME, action) } else action()
    }

    /** Ends the startup, whether or not the configuration and the instances are known. */
    fun endStartup() {
        starting = false
        startupActions.toList().also { startupActions.clear() }.forEach { it() }
    }

    fun retryAllowance(service: ServiceName): GatewayRetryBudget =
        retryAllowances.getOrPut(service) { GatewayRetryBudget(settings.retries, startedAt) }

    fun configure(configuration: Configuration) {
        routes = RouteTable(configuration)
        profiles = configuration.services
        coldTargets.configure(configuration.services.values)
        admission.onConfigured()
        refresh()
    }

    fun updateInstances(known: InstanceList) {
        instanceList = known
        refresh()
    }

    fun updateEvacuations(known: ZoneEvacuations) {
        val reopened = evacuations.zones - known.zones
        evacuations = known
        reopened.forEach(coldTargets::onZoneReopened)
        refresh()
    }

    private fun refresh() {
        val known = instanceList ?: return
        targets = targetBook.update(known, profiles, evacuations.zones)
        coldTargets.updateInstances(known)
        usages.retain(targets)
        if (routes != null) evacuationLog.report(evacuations, targets, now())
        admission.onCapacityChange()
        if (routes != null && starting) endStartup()
    }

    private companion object {
        /** The loop reads all connections before it calls what a task of the turn before it has made due. */
        val LATE_READ_TIME = 5.milliseconds
    }
}
