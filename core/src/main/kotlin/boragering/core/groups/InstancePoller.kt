package boragering.core.groups

import boragering.core.Clock
import boragering.core.InstanceClient
import boragering.core.InstanceId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** An instance to poll; [address] is `host:port`. */
internal data class PollTarget(val instance: InstanceId, val address: String)

/** Asks instances for their reports, a bounded number at once, and never one instance twice at once. */
internal class InstancePoller(
    private val targets: InstanceClient,
    private val tracker: InstanceTracker,
    private val clock: Clock,
    private val timeout: Duration,
    maxConcurrentPolls: Int,
) {
    private val permits = Semaphore(maxConcurrentPolls)
    private val inProgress = ConcurrentHashMap.newKeySet<InstanceId>()

    /**
     * Polls [asked] and returns when all have answered, or after [maxWait]; polls that are still waiting continue in
     * [scope], so that one slow instance does not delay what is known of the others.
     */
    suspend fun poll(scope: CoroutineScope, asked: Collection<PollTarget>, maxWait: Duration) {
        val polls = asked.filter { inProgress.add(it.instance) }.map { launchPoll(scope, it) }
        withTimeoutOrNull(maxWait) { polls.joinAll() }
    }

    private fun launchPoll(scope: CoroutineScope, target: PollTarget): Job {
        val poll = scope.launch { permits.withPermit { ask(target) } }
        poll.invokeOnCompletion { inProgress.remove(target.instance) }
        return poll
    }

    private suspend fun ask(target: PollTarget) {
        // The time before the call, so that the age of the report is an upper bound.
        val askedAt = clock.monotonic()
        val report = withTimeoutOrNull(timeout) { targets.report(target.address).getOrNull() }
        if (report != null && report.instance == target.instance) tracker.record(TimedReport(report, askedAt))
    }
}
