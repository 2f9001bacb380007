package boragering.gateway

import boragering.fleet.RateStatement
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration.Companion.seconds

/** Records what targets say of themselves in the heads of their responses. Used on the event loop only. */
internal class TargetStatements(private val state: GatewayState) {
    /** Records the statements in the [head] of the response to [attempt]. */
    fun record(attempt: TargetAttempt, head: ResponseHead) {
        val headers = head.headers
        val names = state.headerNames
        attempt.usage.updateLoad(headers.get(names.serverLoad), attempt.lastProgressAt)
        state.admission.onCapacityChange()
        recordRate(attempt, RateStatement.of(headers.get(names.rateLimit)))
        if (headers.get(names.leaving)?.trim() == LEAVES) state.usages.recordLeaving(attempt.target)
        if (head.status == UNAVAILABLE) headers.get(HttpHeaderNames.RETRY_AFTER)?.let { recordBackoff(attempt, it) }
    }

    private fun recordBackoff(attempt: TargetAttempt, text: String) {
        val time = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
        if (time == null) {
            val unreadable = text.take(MAX_LOGGED_LENGTH)
            state.log.event("target-backoff-unreadable", "target" to attempt.target.head, "text" to unreadable)
        } else {
            state.usages.recordBackoff(attempt.target, time.seconds)
        }
    }

    private fun recordRate(attempt: TargetAttempt, statement: RateStatement) {
        val rate = attempt.usage.rate
        if (!rate.record(statement, attempt.startedAt, attempt.lastProgressAt)) return
        state.log.rateStatement(attempt.target, statement)
        val ended = statement == RateStatement.Unlimited
        if (ended && rate.holding) state.ports.peers.rates().reportEnd(attempt.target.head)
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_LOGGED_LENGTH = 40

        /** Value of the header with which an instance says that it leaves. */
        const val LEAVES = "1"
    }
}
