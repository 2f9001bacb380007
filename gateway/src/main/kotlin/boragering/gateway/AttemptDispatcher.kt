package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.Choice
import boragering.fleet.InstanceStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The sends of one request, one after the other. It goes to another target only if it cannot have run or may run again,
 * within the route's attempts and the retries that this gateway may send. Runs on the event loop.
 */
internal class AttemptDispatcher(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    private val log: ExchangeLog,
    private val events: AttemptListener,
) {
    private val tried = HashSet<InstanceStart>()
    private var handle: CallHandle? = null
    private var unsent = 0

    /** The send that has no result yet. */
    var attempt: TargetAttempt? = null
        private set

    /** Targets that got the request, or part of it. */
    var sends = 0
        private set

    private var ran = false

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = ran || handle?.sent == true

    /** Sends the request to go on after [lastEvent]; the reason when there is no target for it. */
    fun send(lastEvent: Long?): String? =
        when (val choice = choose()) {
            is Choice.Chosen -> null.also { send(choice.candidate, lastEvent) }
            Choice.Full -> "all targets are full"
            Choice.None -> "no target can serve it"
        }

    /** Whether the request may be sent once more at [now]; takes a retry from the allowance if it may. */
    fun permitted(ran: Boolean, resumable: Boolean, now: Duration): Boolean {
        val repeatable = routed.route.repeatability.repeatable && resumable
        val possible = repeatable || !(ran || this.ran)
        val within = sends < routed.route.attempts && unsent < CONNECT_ATTEMPTS && routed.deadline - now > LEAST_TIME
        return possible && within && choose() is Choice.Chosen && allowed(now)
    }

    /** The present send is over; [ran] tells whether the target may have run the request. */
    fun over(ran: Boolean) {
        attempt?.let { it.used.end(it.flowing) }
        attempt = null
        handle = null
        this.ran = this.ran || ran
    }

    /** The target of the present send was never reached. */
    fun notSent() {
        sends -= 1
        unsent += 1
    }

    /** Ends the work at the present target. */
    fun cancel() {
        val ended = handle
        over(ran = mayHaveRun)
        ended?.cancel()
    }

    /** Stops or resumes reading of the answer. */
    fun reading(on: Boolean) {
        handle?.reading(on)
    }

    private fun choose(): Choice =
        state.choice.choose(candidates(), state.ports.gateways(), state.now(), retry = sends > 0 || unsent > 0)

    private fun allowed(now: Duration): Boolean =
        sends == 0 || state.allowance(routed.service.name).tryAcquire(now, state.ports.gateways())

    private fun candidates(): List<Candidate> {
        val targets = state.targets.targets(routed.service.name, routed.model).filter { it.head !in tried }
        return state.loads.candidates(targets)
    }

    private fun send(chosen: Candidate, lastEvent: Long?) {
        val target = chosen.target
        val used = state.loads.of(target)
        val request = TargetAttempt.request(routed, target, state.names, lastEvent, state.now())
        val next = TargetAttempt(target, used, request, routed, state, events)
        tried += target.head
        sends += 1
        attempt = next
        used.begin()
        log.sent(chosen, sends)
        val started = used.pool.send(next, routed.service.connectionLimit(state.ports.gateways()))
        if (attempt === next) handle = started
    }

    private companion object {
        /** Targets tried that cannot be connected to. */
        const val CONNECT_ATTEMPTS = 3

        /** Time left below which another attempt is of no use. */
        val LEAST_TIME = 100.milliseconds
    }
}
