package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.Store
import boragering.fleet.Configuration
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a planner works on. Read on the event loop.
 *
 * @property list the instances; `null` while the list is not known to be up to date.
 * @property planner who holds the planner's lock, as far as it is known.
 */
interface PlannerView {
    val configuration: Configuration?
    val list: InstanceList?
    val planner: String?

    /** Whether no other gateway serves the callers of this one's availability zone. */
    val aloneInZone: Boolean

    /** Whether the store answers no gateway. */
    val storeIsDown: Boolean

    /** Takes what the planner saw of instances itself, and passes it on to other gateways. */
    fun onObserved(instances: List<Instance>)

    /** Heads of groups that seem to have failed; each call returns those that came since the last one. */
    fun takeSuspicions(): Set<InstanceStart>
}

/** What a [PlannerLoop] uses. */
class PlannerPorts(
    val store: Store,
    val orders: OrderPort,
    val loop: GatewayLoop,
    val clock: Clock,
    val log: DecisionLog,
    val random: Random,
)

/**
 * Competes for the planner's lock and plans while this gateway holds it. Runs on the event loop.
 */
class PlannerLoop(private val self: DaemonId, private val ports: PlannerPorts, private val view: PlannerView) {
    private val lock = PlannerLock(ports.store, self, ports.clock) { view.storeIsDown }
    private var stopping = false

    /** Whether this gateway plans. */
    val planning: Boolean get() = lock.held

    /** Whether the lock can be had; a store that is down can give it to nobody. */
    private val lockAvailable: Boolean get() = view.planner == null && !stopping && !view.storeIsDown

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

    /** Gives the lock up, so that another gateway plans. */
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
            // Another holder, or none: the lease has ended, as others have learned from the store.
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

    /** Constants of the planner. */
    companion object {
        /** Key of the document that names the planner. */
        const val LOCK_KEY = PlannerLock.KEY

        private val VACANT_INTERVAL = 200.milliseconds

        /** While another gateway plans; longer, since each of many gateways wakes for it. */
        private val IDLE_INTERVAL = 400.milliseconds
        private val STEP_INTERVAL = 100.milliseconds

        /** Added for each instance, so that a large pool does not take all of the gateway's time. */
        private val STEP_INTERVAL_PER_INSTANCE = 100.microseconds
        private val RENEWAL_CHECK = 200.milliseconds

        /** Gateways that see the lock free do not all try at the same moment. */
        private val ELECTION_JITTER = 200.milliseconds

        /** The planner's work weighs on a gateway; one that is alone in its availability zone takes it last. */
        private val ELECTION_HANDICAP = 600.milliseconds
    }
}
