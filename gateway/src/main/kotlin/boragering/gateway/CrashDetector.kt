package boragering.gateway

import boragering.fleet.InstanceStart
import boragering.fleet.LostRequest
import boragering.fleet.TargetCrash
import kotlinx.collections.immutable.toPersistentList

/**
 * Distinguishes targets that have crashed from connections that were closed for another reason: a process that has
 * ended refuses further connections. One connection at a time is opened to each target for this purpose. Runs on the
 * event loop.
 */
internal class CrashDetector(private val onCrash: (TargetCrash) -> Unit) {
    private val checks = HashMap<InstanceStart, ArrayList<LostRequest>>()

    /** Called when the connection of [attempt] has ended, and with it possibly the target. */
    fun onDisconnected(attempt: TargetAttempt) {
        val head = attempt.target.head
        val request = LostRequest(attempt.promptParts, attempt.startedAt)
        val pending = checks[head]
        when {
            pending == null -> check(attempt, request)
            pending.size < MAX_REQUESTS_PER_CHECK -> pending += request
        }
    }

    private fun check(attempt: TargetAttempt, request: LostRequest) {
        val pool = attempt.usage.pool
        val disconnectedAt = pool.now()
        val target = attempt.target
        checks[target.head] = arrayListOf(request)
        pool.checkRefusal { refused ->
            val lost = checks.remove(target.head).orEmpty().toPersistentList()
            if (refused) onCrash(TargetCrash(target.head, target.service, disconnectedAt, lost))
        }
    }

    private companion object {
        const val MAX_REQUESTS_PER_CHECK = 64
    }
}
