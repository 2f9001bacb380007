package boragering.gateway

import boragering.fleet.AdmissionRejection
import boragering.fleet.CallerAttempt
import boragering.fleet.Choice
import boragering.fleet.ReturnTimes
import kotlin.time.Duration

/**
 * One request from its arrival to its final response. The request is sent to one target at a time. A broken stream that
 * may be resumed continues with the next event from another target, within the same response. Runs on the event loop.
 */
internal class Exchange(
    private val state: GatewayState,
    private val routed: RoutedRequest,
    private val answer: CallerResponse,
) {
    private val log = ExchangeLog(state, routed)
    private val dispatcher = AttemptDispatcher(state, routed, log, Listener())
    private val progress = ResponseProgress(answer, state.ports.random, routed.lastEventId)
    private val admission = state.admission.lane(routed)?.let { lane ->
        RequestAdmission(state, routed, lane, { dispatcher.send(progress.lastEventId, it) }, AdmissionEnd())
    }
    private var finished = false

    /** Sends the request to its first target. */
    fun start() {
        state.exchanges += this
        state.retryAllowance(routed.service.name).recordRequest(state.now())
        val waitTime = state.promptGuard.waitTime(routed.sharedParts)
        when {
            waitTime != null -> finish(progress.refuseUnsent(QUARANTINED, waitTime))
            state.now() < routed.deadline -> admission?.begin() ?: send()
            else -> finish(progress.timeOut(dispatcher.mayHaveRun))
        }
    }

    /** Ends the request if its deadline has passed by [now], or leaves its target if that is silent for too long. */
    fun checkTimeouts(now: Duration) {
        val current = dispatcher.attempt
        when {
            finished -> Unit
            now >= routed.deadline -> {
                finish(progress.timeOut(dispatcher.mayHaveRun))
                dispatcher.cancel()
            }
            // A target whose response is not read waits for this gateway.
            current != null && current.accepting && !current.activity.paused -> checkSilence(current, now)
        }
    }

    /** Cancels the request because the caller has closed the connection. */
    fun onCallerDisconnected() {
        if (finished) return
        finish(ExchangeResult("caller-left", CALLER_DISCONNECTED_STATUS))
        dispatcher.cancel()
    }

    /** Ends the request because the gateway stops before its response is complete. */
    fun onGatewayStop() {
        if (finished) return
        finish(progress.failRequest("the gateway stops", dispatcher.mayHaveRun))
        dispatcher.cancel()
    }

    /** Sends events that have waited for the caller or for memory, and reads more of the stream if there is memory. */
    fun onCallerWritable() {
        answer.events.onWritable()
        if (answer.events.accepting) dispatcher.setReading(true)
    }

    /** Sends the request to another target, if possible, when the current one has been silent for too long. */
    private fun checkSilence(current: TargetAttempt, now: Duration) {
        if (current.usage.stalled(now, SilenceTimeout.STALL_TIMEOUT)) state.suspicions.suspect(current)
        val silence = TargetSilence(
            streaming = current.streaming,
            suspected = current.usage.load.suspected(now),
            recentlyActive = current.usage.activeWithin(SilenceTimeout.MIN_TIMEOUT, now),
        )
        val repeatable = routed.route.repeatability.repeatable
        if (!repeatable || now - current.lastProgressAt <= SilenceTimeout.of(routed.route, silence)) return
        if (!silence.recentlyActive) state.suspicions.suspect(current)
        if (!dispatcher.tryAcquireRetry(mayHaveRun = true, progress.resumable, now)) return
        log.attemptFailed(current, "no bytes for ${now - current.lastProgressAt}", mayHaveRun = true, retrying = true)
        dispatcher.cancel()
        send()
    }

    /** Retries the request, or ends it, after an attempt without a final response. */
    private fun onAttemptFailed(reason: String, mayHaveRun: Boolean) {
        answer.events.flush()
        val ended = dispatcher.attempt
        dispatcher.endAttempt(mayHaveRun)
        val retrying = dispatcher.tryAcquireRetry(mayHaveRun, progress.resumable, state.now())
        log.attemptFailed(ended, reason, mayHaveRun, retrying)
        if (retrying) send() else fail(reason)
    }

    private fun send() = when (dispatcher.send(progress.lastEventId)) {
        is Choice.Chosen -> Unit
        Choice.Full -> fail("all targets are full")
        Choice.None -> fail(dispatcher.noTargetReason)
    }

    private fun fail(reason: String) {
        if (dispatcher.untried) state.demand.onUnserved(routed)
        // A caller that comes back before this time counts as one that repeats too soon.
        val admissionTime = admission?.let { ReturnTimes.longestWait(routed.route.targetLatency) }
        val waitTime = listOfNotNull(dispatcher.waitTime, admissionTime).maxOrNull()
        finish(progress.failRequest(reason, dispatcher.mayHaveRun, waitTime))
    }

    private fun finish(result: ExchangeResult) {
        finished = true
        log.exchangeEnded(result, dispatcher.sendCount)
        state.exchanges.remove(this)
        admission?.withdraw()
        progress.dropFailure()
        answer.events.discard()
        if (result.outcome != ANSWERED) return
        dispatcher.attempt?.let { state.demand.onAnswered(routed, it.startedAt) }
        dispatcher.endAttempt(mayHaveRun = true)
    }

    private inner class AdmissionEnd : RequestAdmission.Listener {
        override val ended: Boolean get() = finished

        override fun onRejected(rejection: AdmissionRejection) {
            // A caller that has repeated too soon counts with its first attempt.
            if (admission?.admission?.caller !is CallerAttempt.Premature) state.demand.onUnserved(routed)
            val retryAfter = maxOf(rejection.retryAfter, dispatcher.waitTime ?: Duration.ZERO)
            finish(progress.refuseUnsent(rejection.reason.text, retryAfter))
        }

        override fun onNoTarget() = fail(dispatcher.noTargetReason)
    }

    /** Handles the events of the current attempt and ignores those of earlier ones. */
    private inner class Listener : AttemptListener {
        override fun onEvent(attempt: TargetAttempt, head: ResponseHead, bytes: ByteArray, id: Long?) {
            if (isStale(attempt)) return
            if (progress.forwardEvent(head, bytes, id)) log.responseBegan()
            if (answer.events.accepting || attempt.activity.paused) return
            dispatcher.setReading(false)
            log.streamPaused(attempt)
        }

        override fun onReadComplete(attempt: TargetAttempt) {
            if (!isStale(attempt)) answer.events.flush()
        }

        override fun onStreamEnd(attempt: TargetAttempt, head: ResponseHead) {
            if (isStale(attempt)) return
            progress.endStream(head)
            recordAnswer(attempt, head)
            finish(ExchangeResult(ANSWERED, head.status))
        }

        override fun onMemoryGranted(attempt: TargetAttempt) {
            if (!isStale(attempt)) dispatcher.setReading(true)
        }

        override fun onResponse(attempt: TargetAttempt, head: ResponseHead, body: ResponseBody) {
            if (isStale(attempt)) return body.release()
            when {
                progress.streaming -> {
                    body.release()
                    onAttemptFailed("a resumed stream was answered with status ${head.status}", mayHaveRun = true)
                }
                head.status in TARGET_FAILURES -> {
                    progress.keepFailure(head, body)
                    onAttemptFailed("the target failed with status ${head.status}", mayHaveRun = true)
                }
                else -> {
                    progress.forwardComplete(head, body)
                    recordAnswer(attempt, head)
                    finish(ExchangeResult(ANSWERED, head.status))
                }
            }
        }

        override fun onNotExecuted(attempt: TargetAttempt, head: ResponseHead) {
            if (isStale(attempt)) return
            if (head.status == MISDIRECTED_REQUEST) state.suspicions.onMisdirected(attempt)
            onAttemptFailed("the target did not run it: status ${head.status}", mayHaveRun = false)
        }

        override fun onAttemptFailure(attempt: TargetAttempt, failure: CallFailure) {
            if (isStale(attempt)) return
            dispatcher.onFailure(failure)
            when (failure) {
                is CallFailure.NotSent -> state.suspicions.suspect(attempt)
                is CallFailure.Disconnected -> state.promptGuard.crashDetector.onDisconnected(attempt)
                is CallFailure.Lost -> Unit
            }
            onAttemptFailed(failure.reason, mayHaveRun = failure !is CallFailure.NotSent)
        }

        /** An answer that ends with its connection does not tell whether the target has ended, too. */
        private fun recordAnswer(attempt: TargetAttempt, head: ResponseHead) {
            val delimited = HopByHop.hasDelimitedBody(head.headers)
            when {
                !delimited -> state.promptGuard.crashDetector.onDisconnected(attempt)
                head.status in SUCCESS -> state.promptGuard.onAnswered(routed.sharedParts)
            }
        }

        private fun isStale(attempt: TargetAttempt): Boolean = finished || attempt !== dispatcher.attempt
    }

    private companion object {
        const val QUARANTINED = "a part of the prompt crashes targets"
        const val ANSWERED = "answered"
        const val CALLER_DISCONNECTED_STATUS = 499
        const val MISDIRECTED_REQUEST = 421
        val TARGET_FAILURES = 500..599
        val SUCCESS = 200..299
    }
}
