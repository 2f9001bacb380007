package boragering.gateway

import boragering.fleet.Candidate

/** Reports the decisions on one request to the log and the metrics. */
internal class ExchangeLog(private val state: GatewayState, private val routed: RoutedRequest) {
    private val route = routed.route.name

    fun sent(chosen: Candidate, attempt: Int) {
        state.ports.metrics.attempt("sent")
        state.log.request("request-sent", routed.id, LogPriority.ROUTINE) {
            mapOf(
                "route" to route,
                "configuration" to state.routes?.version,
                "target" to chosen.target.head,
                "group" to chosen.target.group,
                "attempt" to attempt,
                "inFlight" to chosen.load.ownInFlight,
                "reportAge" to chosen.load.report?.let { state.now() - it.at },
            )
        }
    }

    fun attemptFailed(attempt: TargetAttempt?, reason: String, ran: Boolean, again: Boolean) {
        state.ports.metrics.attempt(if (ran) "lost" else "not-run")
        state.log.request("attempt-failed", routed.id, LogPriority.NOTABLE) {
            mapOf(
                "route" to route,
                "target" to attempt?.target?.head,
                "group" to attempt?.target?.group,
                "reason" to reason,
                "mayHaveRun" to ran,
                "sentAgain" to again,
                "after" to attempt?.let { state.now() - it.startedAt },
            )
        }
    }

    fun began() = state.ports.metrics.began(route, state.now() - routed.arrivedAt)

    fun ended(ending: ExchangeResult, sends: Int) {
        val after = state.now() - routed.arrivedAt
        state.ports.metrics.ended(route, ending.status, ending.outcome, after)
        val kind = if (ending.outcome == "answered") LogPriority.ROUTINE else LogPriority.NOTABLE
        state.log.request("request-ended", routed.id, kind) {
            mapOf(
                "route" to route,
                "outcome" to ending.outcome,
                "status" to ending.status,
                "reason" to ending.reason,
                "sends" to sends,
                "after" to after,
                "configuration" to state.routes?.version,
            )
        }
    }
}
