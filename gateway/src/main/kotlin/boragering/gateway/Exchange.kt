package boragering.gateway

import kotlin.time.Duration

/**
 * One request from its arrival to its final answer. It is sent to one target at a time. A broken stream that may be
 * resumed goes on at the next event of another target, inside the same answer. Runs on the event loop.
 */
internal class Exchange(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    answer: CallerResponse,
) {
    private val log = ExchangeLog(state, routed)
    private val dispatch = AttemptDispatcher(state, routed, log, Events())
    private val progress = ResponseProgress(answer, state.ports.random, routed.lastEvent)
    private var finished = false

    /** Sends the request to its first target. */
    fun start() {
        state.exchanges += this
        state.allowance(routed.service.name).recordRequest(state.now())
        if (state.now() < routed.deadline) send() else finish(progress.expire(dispatch.mayHaveRun))
    }

    /** Looks at [now] whether the request or its target takes too long. */
    fun check(now: Duration) {
        val current = dispatch.attempt
        when {
            finished -> Unit
            now >= routed.deadline -> {
                finish(progress.expire(dispatch.mayHaveRun))
                dispatch.cancel()
            }
            current != null -> checkSilence(current, now)
        }
    }

    /** The caller is gone; the work at the target ends. */
    fun callerLeft() {
        if (finished) return
        finish(ExchangeResult("caller-left", CALLER_LEFT))
        dispatch.cancel()
    }

    /** The caller reads on, or does not. */
    fun callerWritable(on: Boolean) = dispatch.reading(on)

    /** Gives a silent target up if the request can go on elsewhere; otherwise waits on. */
    private fun checkSilence(current: TargetAttempt, now: Duration) {
        if (current.used.stalled(now, SilenceTimeout.STALL)) state.suspect(current)
        val silence = TargetSilence(
            flowing = current.flowing,
            suspected = current.used.load.suspected(now),
            heardLately = current.used.heardWithin(SilenceTimeout.SHORTEST, now),
        )
        val repeatable = routed.route.repeatability.repeatable
        if (!repeatable || now - current.heardAt <= SilenceTimeout.of(routed.route, silence)) return
        if (!silence.heardLately) state.suspect(current)
        if (!dispatch.permitted(ran = true, progress.resumable, now)) return
        log.attemptFailed(current, "no bytes for ${now - current.heardAt}", ran = true, again = true)
        dispatch.cancel()
        send()
    }

    /** The present send is over without a final answer. */
    private fun leave(reason: String, ran: Boolean) {
        val ended = dispatch.attempt
        dispatch.over(ran)
        val again = dispatch.permitted(ran, progress.resumable, state.now())
        log.attemptFailed(ended, reason, ran, again)
        if (again) send() else finish(progress.giveUp(reason, dispatch.mayHaveRun))
    }

    private fun send() {
        val obstacle = dispatch.send(progress.lastEvent) ?: return
        finish(progress.giveUp(obstacle, dispatch.mayHaveRun))
    }

    private fun finish(ending: ExchangeResult) {
        finished = true
        log.ended(ending, dispatch.sends)
        state.exchanges.remove(this)
        if (ending.outcome == ANSWERED) dispatch.over(ran = true)
    }

    /** What becomes of the present send; an earlier one is of no interest any more. */
    private inner class Events : AttemptListener {
        override fun event(attempt: TargetAttempt, head: ResponseHead, bytes: ByteArray, id: Long?) {
            if (over(attempt)) return
            if (progress.event(head, bytes, id)) log.began()
            if (!progress.writable) dispatch.reading(false)
        }

        override fun streamEnded(attempt: TargetAttempt, head: ResponseHead) {
            if (over(attempt)) return
            progress.end(head)
            finish(ExchangeResult(ANSWERED, head.status))
        }

        override fun answered(attempt: TargetAttempt, head: ResponseHead, body: ByteArray) {
            if (over(attempt)) return
            when {
                progress.streaming -> leave("a resumed stream was answered with status ${head.status}", ran = true)
                head.status in TARGET_FAILURES -> {
                    progress.keep(head, body)
                    leave("the target failed with status ${head.status}", ran = true)
                }
                else -> {
                    progress.whole(head, body)
                    finish(ExchangeResult(ANSWERED, head.status))
                }
            }
        }

        override fun refused(attempt: TargetAttempt, head: ResponseHead) {
            if (over(attempt)) return
            if (head.status == MISDIRECTED) state.misdirected(attempt)
            leave("the target did not run it: status ${head.status}", ran = false)
        }

        override fun failed(attempt: TargetAttempt, failure: CallFailure) {
            if (over(attempt)) return
            if (failure is CallFailure.NotSent) {
                dispatch.notSent()
                state.suspect(attempt)
            }
            leave(failure.reason, ran = failure is CallFailure.Lost)
        }

        private fun over(attempt: TargetAttempt): Boolean = finished || attempt !== dispatch.attempt
    }

    private companion object {
        const val ANSWERED = "answered"
        const val CALLER_LEFT = 499
        const val MISDIRECTED = 421
        val TARGET_FAILURES = 500..599
    }
}
