package boragering.gateway

import boragering.fleet.Choice

/** Records the decisions about one request in the log and the metrics. */
internal class ExchangeLog(private val state: GatewayState, private val routed: RoutedRequest) {
    private val route = routed.route.name

    fun requestSent(chosen: Choice.Chosen, attempt: Int) {
        val candidate = chosen.candidate
        state.ports.metrics.recordAttempt("sent")
        state.log.requestEvent("request-sent", routed.id, LogPriority.ROUTINE) {
            mapOf(
                "route" to route,
                "configuration" to state.routes?.version,
                "target" to candidate.target.head,
                "group" to candidate.target.group,
                "attempt" to attempt,
                "inFlight" to candidate.load.ownInFlight,
                "reportAge" to candidate.load.report?.let { state.now() - it.at },
                "occupancy" to (chosen.occupancy * PERCENT).toInt(),
            )
        }
    }

    fun attemptFailed(attempt: TargetAttempt?, reason: String, mayHaveRun: Boolean, retrying: Boolean) {
        state.ports.metrics.recordAttempt(if (mayHaveRun) "lost" else "not-run")
        state.log.requestEvent("attempt-failed", routed.id, LogPriority.NOTABLE) {
            mapOf(
                "route" to route,
                "target" to attempt?.target?.head,
                "group" to attempt?.target?.group,
                "parts" to routed.promptParts.takeIf { it.isNotEmpty() },
                "reason" to reason,
                "mayHaveRun" to mayHaveRun,
                "sentAgain" to retrying,
                "after" to attempt?.let { state.now() - it.startedAt },
            )
        }
    }

    fun streamPaused(attempt: TargetAttempt) {
        state.ports.metrics.recordPausedStream()
        state.log.requestEvent("stream-paused", routed.id, LogPriority.NOTABLE) {
            mapOf(
                "route" to route,
                "target" to attempt.target.head,
                "streamBytes" to state.bodyMemory.usedByStreams,
                "bodyBytes" to state.bodyMemory.used,
            )
        }
    }

    fun responseBegan() = state.ports.metrics.recordFirstByte(route, state.now() - routed.arrivedAt)

    fun exchangeEnded(result: ExchangeResult, sendCount: Int) {
        val after = state.now() - routed.arrivedAt
        state.ports.metrics.recordResponse(route, result.status, result.outcome, after)
        val priority = if (result.outcome == "answered") LogPriority.ROUTINE else LogPriority.NOTABLE
        state.log.requestEvent("request-ended", routed.id, priority) {
            mapOf(
                "route" to route,
                "outcome" to result.outcome,
                "status" to result.status,
                "reason" to result.reason,
                "sends" to sendCount,
                "after" to after,
                "configuration" to state.routes?.version,
            )
        }
    }

    private companion object {
        const val PERCENT = 100
    }
}
