package boragering.daemon

import boragering.core.Problem
import boragering.core.ProblemKind
import io.ktor.http.HttpStatusCode
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Limits the number of requests in progress, and refuses new ones while the daemon is not ready or is stopping. */
internal class RequestGate(private val maximumRequests: Int, private val ready: () -> Boolean) {
    private val inProgress = AtomicInteger()
    private val closed = AtomicBoolean()

    /** The number of requests in progress: those that have entered and not left. */
    val count: Int get() = inProgress.get()

    /** Whether [close] was called. */
    val draining: Boolean get() = closed.get()

    /**
     * Admits a request and returns `null`, or returns the problem for which it is refused. The caller of this function
     * must call [leave] once for each admitted request.
     */
    fun enter(): Problem? {
        val newCount = inProgress.incrementAndGet()
        val refusal =
            when {
                closed.get() -> unavailable(ProblemKind.DRAINING, "this daemon is stopping")
                !ready() -> unavailable(ProblemKind.NOT_READY, "this daemon has no catalogue yet")
                newCount > maximumRequests ->
                    unavailable(ProblemKind.OVERLOADED, "this daemon has $maximumRequests requests already")
                else -> null
            }
        if (refusal != null) leave()
        return refusal
    }

    /** Records the end of an admitted request. */
    fun leave() {
        inProgress.decrementAndGet()
    }

    /** Refuses all further requests. */
    fun close() = closed.set(true)

    private fun unavailable(kind: ProblemKind, detail: String): Problem =
        refusalProblem(kind, HttpStatusCode.ServiceUnavailable, detail, RETRY_AFTER_SECONDS)

    private companion object {
        /** Time within which the load balancer has noticed that the daemon is not ready. */
        const val RETRY_AFTER_SECONDS = 1
    }
}
