package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.Choice
import boragering.fleet.InstanceStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One request from its arrival to its final answer. It is sent to one target at a time; to another one only when the
 * request cannot have run, or may run again and the retries are within their limits. A broken stream that may be resumed
 * goes on at the next event of another target, inside the same answer. Runs on the event loop.
 */
internal class Exchange(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    private val answer: CallerAnswer,
) : AttemptEvents {
    private val log = ExchangeLog(state, routed)
    private val tried = HashSet<InstanceStart>()
    private var attempt: TargetAttempt? = null
    private var handle: CallHandle? = null
    private var sends = 0
    private var unsent = 0
    private var mayHaveRun = false
    private var streaming = false
    private var lastEvent = routed.lastEvent
    private var eventsNumbered = true
    private var failure: TargetFailure? = null
    private var finished = false

    /** Sends the request to its first target. */
    fun start() {
        state.exchanges += this
        state.allowance(routed.service.name).request(state.now())
        send()
    }

    /** Looks at [now] whether the request or its target takes too long. */
    fun check(now: Duration) {
        val current = attempt
        when {
            finished -> Unit
            now >= routed.deadline -> expire()
            current == null -> Unit
            current.used.stalled(now, STALL) -> stalled(current, now)
            silent(current, now) -> silence(current, now)
        }
    }

    /** The caller is gone; the work at the target ends. */
    fun callerLeft() {
        if (finished) return
        log.ended("caller-left", CALLER_LEFT, sends)
        finish()
        handle?.cancel()
    }

    /** The caller reads on, or does not. */
    fun callerWritable(on: Boolean) {
        handle?.reading(on)
    }

    override fun event(attempt: TargetAttempt, head: AnswerHead, bytes: ByteArray, id: Long?) {
        if (finished || attempt !== this.attempt) return
        val last = lastEvent
        if (id != null && last != null && id <= last) return
        if (!streaming) {
            streaming = true
            answer.begin(head)
            log.began()
        }
        if (id == null) eventsNumbered = false else lastEvent = id
        answer.event(bytes)
        if (!answer.writable) handle?.reading(false)
    }

    override fun streamEnded(attempt: TargetAttempt, head: AnswerHead) {
        if (finished || attempt !== this.attempt) return
        if (!streaming) answer.begin(head)
        answer.end()
        log.ended("answered", head.status, sends)
        finish()
    }

    override fun answered(attempt: TargetAttempt, head: AnswerHead, body: ByteArray) {
        if (finished || attempt !== this.attempt) return
        if (head.status in TARGET_FAILURES && !streaming) {
            failure = TargetFailure(head, body)
            leave("the target failed with status ${head.status}", ran = true)
        } else if (streaming) {
            leave("the target answered a resumed stream with status ${head.status}", ran = true)
        } else {
            answer.whole(head, body)
            log.ended("answered", head.status, sends)
            finish()
        }
    }

    override fun refused(attempt: TargetAttempt, head: AnswerHead) {
        if (finished || attempt !== this.attempt) return
        leave("the target did not run it: status ${head.status}", ran = false)
    }

    override fun failed(attempt: TargetAttempt, failure: CallFailure) {
        if (finished || attempt !== this.attempt) return
        when (failure) {
            is CallFailure.NotSent -> {
                sends -= 1
                unsent += 1
                state.suspect(attempt)
                leave(failure.reason, ran = false)
            }
            is CallFailure.Lost -> leave(failure.reason, ran = true)
        }
    }

    private fun stalled(current: TargetAttempt, now: Duration) {
        state.suspect(current)
        if (silent(current, now)) silence(current, now)
    }

    private fun silent(current: TargetAttempt, now: Duration): Boolean =
        routed.route.repeatability.repeatable && now - current.heardAt > patience(current, now)

    private fun patience(current: TargetAttempt, now: Duration): Duration {
        val gap = routed.route.targetGap
        return when {
            current.used.load.suspected(now) && !current.flowing -> SUSPECT_PATIENCE
            // The target answers others: it is busy, and the request would wait elsewhere as well.
            current.used.heardWithin(SHORTEST_PATIENCE, now) -> BUSY_PATIENCE
            current.flowing && gap != null -> maxOf(gap * GAP_FACTOR, SHORTEST_PATIENCE)
            else -> maxOf(routed.route.targetLatency * LATENCY_FACTOR, SHORTEST_PATIENCE)
        }
    }

    /** Gives a silent target up if the request can go on elsewhere; otherwise waits on. */
    private fun silence(current: TargetAttempt, now: Duration) {
        state.suspect(current)
        if (!permitted(ran = true, now)) return
        val ended = handle
        leave("no bytes for ${now - current.heardAt}", ran = true, taken = true)
        ended?.cancel()
    }

    /** The present attempt is over without a final answer. */
    private fun leave(reason: String, ran: Boolean, taken: Boolean = false) {
        val ended = attempt
        ended?.used?.end(ended.flowing)
        attempt = null
        mayHaveRun = mayHaveRun || ran
        val again = taken || permitted(ran, state.now())
        log.attemptFailed(ended, reason, ran, again)
        if (again) send() else giveUp(reason)
    }

    private fun permitted(ran: Boolean, now: Duration): Boolean {
        val repeatable = routed.route.repeatability.repeatable && (!streaming || eventsNumbered)
        val possible = repeatable || !(ran || mayHaveRun)
        val within = sends < routed.route.attempts && unsent < CONNECT_ATTEMPTS && routed.deadline - now > LEAST_TIME
        return possible && within && candidates().isNotEmpty() &&
            (sends == 0 || state.allowance(routed.service.name).take(now, state.gateways()))
    }

    private fun candidates(): List<Candidate> {
        val targets = state.targets.targets(routed.service.name, routed.model).filter { it.head !in tried }
        return state.loads.candidates(targets)
    }

    private fun send() {
        when (val choice = state.choice.choose(candidates(), state.gateways(), state.now())) {
            is Choice.Chosen -> send(choice.candidate)
            Choice.Full -> giveUp("all targets are full")
            Choice.None -> giveUp("no target can serve it")
        }
    }

    private fun send(chosen: Candidate) {
        val now = state.now()
        val target = chosen.target
        val used = state.loads.of(target)
        val request = TargetAttempt.request(routed, target, state.names, lastEvent, now)
        val next = TargetAttempt(target, used, request, routed, state, this)
        tried += target.head
        sends += 1
        attempt = next
        used.begin()
        log.sent(chosen, sends)
        val limit = routed.service.connectionLimit(state.gateways())
        val started = used.pool.send(next, limit)
        if (attempt === next) handle = started
    }

    private fun expire() {
        val ended = handle
        val ran = mayHaveRun || ended?.sent == true
        when {
            streaming -> answer.abort()
            ran -> answer.refuse(Refusal.TimedOut("no answer in time"))
            else -> answer.refuse(Refusal.Unavailable("not sent in time", retryAfter = null))
        }
        log.ended("timed-out", if (ran) TIMED_OUT else UNAVAILABLE, sends)
        finish()
        ended?.cancel()
    }

    private fun giveUp(reason: String) {
        val own = failure
        when {
            streaming -> answer.abort().also { log.ended("stream-broken", BROKEN, sends) }
            own != null -> answer.whole(own.head, own.body).also { log.ended("target-failed", own.head.status, sends) }
            else -> refuse(reason)
        }
        finish()
    }

    private fun refuse(reason: String) {
        val refusal = when {
            mayHaveRun -> Refusal.Failed(reason)
            else -> Refusal.Unavailable(reason, Refusal.soon(state.ports.random))
        }
        answer.refuse(refusal)
        log.ended("refused", refusal.status, sends)
    }

    private fun finish() {
        finished = true
        attempt?.let { it.used.end(it.flowing) }
        attempt = null
        state.exchanges.remove(this)
    }

    /** A target's own failure, kept until it is certain that no other target answers. */
    private class TargetFailure(val head: AnswerHead, val body: ByteArray)

    private companion object {
        val TARGET_FAILURES = 500..599
        const val CALLER_LEFT = 499
        const val BROKEN = 0
        const val TIMED_OUT = 504
        const val UNAVAILABLE = 503

        /** Targets tried that cannot be connected to. */
        const val CONNECT_ATTEMPTS = 3

        const val LATENCY_FACTOR = 2.5
        const val GAP_FACTOR = 3
        val SHORTEST_PATIENCE = 800.milliseconds

        /** Pause of all streams of a target after which it counts as failed. */
        val STALL = 450.milliseconds

        /** Time without an answer after which a request leaves a target that answers others. */
        val BUSY_PATIENCE = 2.seconds + 500.milliseconds

        /** Time without an answer after which a request leaves a target that counts as failed. */
        val SUSPECT_PATIENCE = 150.milliseconds

        /** Time left below which another attempt is of no use. */
        val LEAST_TIME = 100.milliseconds
    }
}
