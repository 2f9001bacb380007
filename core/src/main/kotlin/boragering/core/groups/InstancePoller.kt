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

/** Requests reports from instances: at most `maxConcurrentPolls` at a time, and at most one at a time per instance. */
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
     * Polls [asked] and returns when all polls have ended, or after [maxWait]. Unfinished polls continue in [scope], so
     * that one slow instance does not delay the evaluation of the others. Instances that are already being polled are
     * skipped.
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
        // The time is taken before the call, so that the age derived from it is an upper bound.
        val askedAt = clock.monotonic()
        val report = withTimeoutOrNull(timeout) { targets.report(target.address).getOrNull() }
        if (report != null && report.instance == target.instance) tracker.record(TimedReport(report, askedAt))
    }
}
