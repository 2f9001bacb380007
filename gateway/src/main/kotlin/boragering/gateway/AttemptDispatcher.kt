package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.Choice
import boragering.fleet.ChoiceContext
import boragering.fleet.InstanceStart
import boragering.fleet.TargetChoice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends one request to targets, one attempt at a time. The request is sent to another target only if it cannot have run
 * or may run again, within the attempts of its route and the retry budget of this gateway. Runs on the event loop.
 */
internal class AttemptDispatcher(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    private val log: ExchangeLog,
    private val listener: AttemptListener,
) {
    private val triedTargets = HashSet<InstanceStart>()
    private var callHandle: CallHandle? = null
    private var failedConnects = 0
    private var lostConnections = 0

    /** The attempt in progress; `null` if there is none. */
    var attempt: TargetAttempt? = null
        private set

    /** Number of attempts in which a target received the request or part of it, including the one in progress. */
    var sendCount = 0
        private set

    private var earlierMayHaveRun = false

    /** Whether no target has been chosen for the request. */
    val untried: Boolean get() = sendCount == 0 && failedConnects == 0

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = earlierMayHaveRun || callHandle?.sent == true

    /**
     * Sends the request, to resume after [lastEventId], if a target is available whose occupancy is below
     * [occupancyLimit].
     */
    fun send(lastEventId: Long?, occupancyLimit: Double = TargetChoice.MAX_OCCUPANCY): Choice =
        chooseTarget(occupancyLimit).also { if (it is Choice.Chosen) send(it, lastEventId) }

    /** Why there is no target for the request. */
    val noTargetReason: String
        get() = if (allEvacuated) "all targets are in evacuated zones" else "no target can serve it"

    private val allEvacuated: Boolean
        get() = state.targets.targets(routed.service.name, routed.model).isEmpty() &&
            state.targets.withholds(routed.service.name, routed.model)

    /** Time until a target may get the request, if all targets have asked for none until then; `null` if not. */
    val waitTime: Duration?
        get() = state.usages.waitTime(state.targets.targets(routed.service.name, routed.model))
            ?.takeIf { it > Duration.ZERO }

    /** Whether the request may be sent once more at [now]; if so, one retry is taken from the retry budget. */
    fun tryAcquireRetry(mayHaveRun: Boolean, resumable: Boolean, now: Duration): Boolean {
        val repeatable = routed.route.repeatability.repeatable && resumable
        val repeatAllowed = repeatable || !(mayHaveRun || this.earlierMayHaveRun)
        val attemptsLeft =
            sendCount < routed.route.attempts &&
                failedConnects < MAX_FAILED_CONNECTS &&
                routed.deadline - now > MIN_TIME_LEFT &&
                state.promptGuard.mayRepeat(routed.sharedParts, lostConnections)
        return repeatAllowed && attemptsLeft && chooseTarget() is Choice.Chosen && withinRetryBudget(now)
    }

    /** Ends the current attempt; [mayHaveRun] tells whether its target may have run the request. */
    fun endAttempt(mayHaveRun: Boolean) {
        attempt?.let {
            it.activity.setPaused(false)
            it.usage.onRequestEnd(it.startedAt, it.streaming)
            it.releaseMemory()
        }
        attempt = null
        callHandle = null
        this.earlierMayHaveRun = this.earlierMayHaveRun || mayHaveRun
        state.admission.onCapacityChange()
    }

    /** Counts the current attempt as a failed connect or as the loss of a connection, depending on [failure]. */
    fun onFailure(failure: CallFailure) {
        when (failure) {
            is CallFailure.NotSent -> {
                sendCount -= 1
                failedConnects += 1
            }
            is CallFailure.Disconnected -> lostConnections += 1
            is CallFailure.Lost -> Unit
        }
    }

    /** Cancels the current attempt, including the work at its target. */
    fun cancel() {
        val ended = callHandle
        endAttempt(mayHaveRun = mayHaveRun)
        ended?.cancel()
    }

    /** Pauses or resumes reading of the response. */
    fun setReading(enabled: Boolean) {
        attempt?.activity?.setPaused(!enabled)
        callHandle?.setReading(enabled)
    }

    private fun chooseTarget(occupancyLimit: Double = TargetChoice.MAX_OCCUPANCY): Choice =
        state.targetChoice.choose(
            candidates(),
            ChoiceContext(
                gateways = state.ports.gatewayCount(),
                now = state.now(),
                targetLatency = routed.route.targetLatency,
                repeated = sendCount > 0 || failedConnects > 0,
                targetGap = routed.route.targetGap,
                zones = state.spillovers.terms(routed),
                occupancyLimit = occupancyLimit,
            ),
        )

    private fun withinRetryBudget(now: Duration): Boolean =
        sendCount == 0 || state.retryAllowance(routed.service.name).tryAcquire(now, state.ports.gatewayCount())

    private fun candidates(): List<Candidate> {
        val targets = state.targets.targets(routed.service.name, routed.model)
        val untried = if (triedTargets.isEmpty()) targets else targets.filter { it.head !in triedTargets }
        return state.usages.candidates(untried)
    }

    private fun send(chosen: Choice.Chosen, lastEventId: Long?) {
        val target = chosen.candidate.target
        val usage = state.usages.of(target)
        val first = untried
        val request = TargetAttempt.request(routed, target, state.headerNames, lastEventId, state.now())
        val next = TargetAttempt(target, usage, request, routed, state, listener)
        triedTargets += target.head
        sendCount += 1
        attempt = next
        usage.onRequestStart(next.startedAt)
        state.spillovers.onSend(routed, target, next.startedAt)
        if (first) state.demand.onSent(routed)
        log.requestSent(chosen, sendCount)
        val started = usage.pool.send(next, routed.service.connectionLimit(state.ports.gatewayCount()))
        if (attempt === next) callHandle = started
    }

    private companion object {
        /** Number of failed connects after which a request is not sent again. */
        const val MAX_FAILED_CONNECTS = 3

        /** Remaining time below which another attempt cannot succeed. */
        val MIN_TIME_LEFT = 100.milliseconds
    }
}
