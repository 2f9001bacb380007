package boragering.scenarios

import boragering.standins.AnswerText

/** One run of a request on an instance. */
private data class Run(val request: String?, val idempotencyKey: String?, val place: String)

/** Every run; a request that an engine accepted but cancelled while it waited for a slot was not run. */
private fun Evidence.runs(): List<Run> =
    engines.flatMap { engine ->
        engine.requests.filter { it.started != null }
            .map { Run(it.request, it.idempotencyKey, "${engine.instance}/${engine.incarnation}") }
    } + services.flatMap { service ->
        service.requests.map { Run(it.request, it.idempotencyKey, "${service.instance}/${service.incarnation}") }
    }

/** At most one run for each idempotency key. An engine does not see the key, so callers' requests count too. */
internal class SingleRunCheck(private val evidence: Evidence) : EvidenceCheck {
    override fun violations(): List<Violation> {
        val keys = evidence.calls.mapNotNull { record ->
            record.outcome.request?.let { request -> record.call.idempotencyKey?.let { request to it } }
        }.toMap()
        return evidence.runs().groupBy { it.idempotencyKey ?: keys[it.request] }
            .filter { (key, runs) -> key != null && runs.size > 1 }
            .map { (key, runs) -> Violation("single run", "key $key ran ${runs.size} times: $runs") }
    }
}

/** What a caller was told was not run was not run. */
internal class NotRunCheck(private val evidence: Evidence) : EvidenceCheck {
    override fun violations(): List<Violation> {
        val runs = evidence.runs().groupBy { it.request }
        return evidence.calls.mapNotNull { it.outcome as? CallOutcome.Refused }
            .filter { it.problem?.outcome == NOT_RUN && it.request != null && it.request in runs }
            .map { Violation("not run", "request ${it.request} was reported as not run: ${runs[it.request]}") }
    }

    private companion object {
        const val NOT_RUN = "not-run"
    }
}

/** Every complete answer is the expected text of its own request, and has the identity of no other. */
internal class CompleteAnswerCheck(private val evidence: Evidence) : EvidenceCheck {
    override fun violations(): List<Violation> = evidence.calls.mapNotNull { record ->
        val call = record.call
        val outcome = record.outcome
        if (call is ChatCall && outcome is CallOutcome.Complete) violation(call, outcome) else null
    }

    private fun violation(call: ChatCall, outcome: CallOutcome.Complete): Violation? {
        val expected = AnswerText.complete(call.messages, call.maxTokens)
        val foreign = outcome.identities - setOfNotNull(outcome.request)
        val detail = when {
            outcome.text != expected -> "has the text '${outcome.text}' instead of '$expected'"
            foreign.isNotEmpty() -> "has chunks of other requests: $foreign"
            else -> null
        }
        return detail?.let { Violation("complete answer", "request ${outcome.request} $it") }
    }
}
