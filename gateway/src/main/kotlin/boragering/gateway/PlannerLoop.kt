package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.Store
import boragering.fleet.Configuration
import boragering.fleet.EngineProfile
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.ModelName
import boragering.fleet.ServiceName
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * The state on which a planner bases its decisions. Used on the event loop.
 *
 * @property list the instances; `null` while the list is not known to be up to date.
 * @property planner the daemon that holds the planner's lock; `null` if none is known to hold it.
 */
interface PlannerView : PlannerLockView {
    val configuration: Configuration?
    val list: InstanceList?
    val planner: String?

    /** The profile [engine] of [service] with the models' shares that the demand needs. */
    fun engineForDemand(service: ServiceName, engine: EngineProfile): EngineProfile = engine

    /** Whether the demand for the models of [service] is known. */
    fun demandKnown(service: ServiceName): Boolean = true

    /** The models of [service] whose callers are rejected, each with the number of groups that its demand fills. */
    fun shortages(service: ServiceName): Map<ModelName, Double> = emptyMap()

    /** The availability zones whose instances get no orders and no other calls. */
    val evacuatedZones: Set<AvailabilityZone>

    /** Whether this gateway is the only one in its availability zone. */
    val aloneInZone: Boolean

    /** Records the state of [instances] that the planner observed itself, and sends it to other gateways. */
    fun onObserved(instances: List<Instance>)

    /** Returns and clears the head instances of groups that were suspected since the last call. */
    fun takeSuspicions(): Set<InstanceStart>
}

/** Dependencies of a [PlannerLoop]. */
class PlannerPorts(
    val store: Store,
    val orders: OrderPort,
    val loop: GatewayLoop,
    val clock: Clock,
    val log: DecisionLog,
    val random: Random,
)

/**
 * Tries to acquire the planner's lock, and plans while this gateway holds it. Runs on the event loop.
 */
class PlannerLoop(private val self: DaemonId, private val ports: PlannerPorts, private val view: PlannerView) {
    private val lock = PlannerLock(ports.store, self, ports.clock, view)
    private var stopping = false

    /** Whether this gateway certainly holds the planner's lock now. */
    val planning: Boolean get() = lock.held

    /**
     * Whether the lock can be acquired, which is impossible while the store is down. A store that was restored from a
     * backup can still name this gateway as its holder.
     */
    private val lockAvailable: Boolean
        get() = (view.planner == null || view.planner == self.value) && !stopping && !view.storeIsDown

    /** Whether this gateway is the planner, or may be. */
    val mayPlan: Boolean get() = lock.fence != null

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (lockAvailable && view.configuration != null && view.list != null) {
                delay(ELECTION_JITTER * ports.random.nextDouble())
                if (view.aloneInZone) delay(ELECTION_HANDICAP)
                if (lockAvailable && lock.acquire()) plan()
            }
            delay(if (view.planner == null) VACANT_INTERVAL else IDLE_INTERVAL)
        }
    }

    /** Releases the lock, so that another gateway can plan. */
    suspend fun stop() {
        stopping = true
        lock.release()
    }

    private suspend fun plan() = coroutineScope {
        val fence = lock.fence ?: return@coroutineScope
        ports.log.event("planner-started", "fence" to fence)
        val term = PlannerTerm(fence, ports, view) { lock.held }
        val renewal = launch {
            while (lock.fence == fence) {
                lock.renew()
                delay(RENEWAL_CHECK)
            }
        }
        var lockObserved = false
        while (lock.fence == fence && !term.superseded) {
            lockObserved = lockObserved || view.planner == self.value
            // Another holder, or none, in the store's document means that this gateway's lease has expired.
            if (lockObserved && view.planner != self.value) lock.forget()
            val configuration = view.configuration
            val list = view.list
            if (lock.held && configuration != null && list != null) {
                term.step(
                    configuration,
                    list,
                    view.takeSuspicions(),
                    this
                )
            }
            delay(STEP_INTERVAL + STEP_INTERVAL_PER_INSTANCE * (list?.instances?.size ?: 0))
        }
        renewal.cancel()
        if (lock.fence == fence) lock.release()
        ports.log.event("planner-stopped", "fence" to fence, "superseded" to term.superseded)
    }

    /** The key of the lock and the intervals of the planner. */
    companion object {
        /** Key of the document that names the planner. */
        const val LOCK_KEY = PlannerLock.KEY

        private val VACANT_INTERVAL = 200.milliseconds

        /** Interval while another gateway plans; longer, because this check wakes every gateway of the deployment. */
        private val IDLE_INTERVAL = 400.milliseconds
        private val STEP_INTERVAL = 100.milliseconds

        /** Added to the interval for each instance, so that a large pool does not use all of the gateway's time. */
        private val STEP_INTERVAL_PER_INSTANCE = 100.microseconds
        private val RENEWAL_CHECK = 200.milliseconds

        /** Random delay that keeps gateways from trying to acquire a free lock all at the same moment. */
        private val ELECTION_JITTER = 200.milliseconds

        /** Delay for the only gateway of an availability zone, which should take on the planner's load last. */
        private val ELECTION_HANDICAP = 600.milliseconds
    }
}
