package boragering.daemon

import boragering.core.Problem
import boragering.core.ProblemKind
import io.ktor.http.HttpStatusCode
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Counts the requests in the daemon, bounds them, and closes when the daemon stops. */
internal class RequestGate(private val maximumRequests: Int, private val ready: () -> Boolean) {
    private val inside = AtomicInteger()
    private val closed = AtomicBoolean()

    /** Requests that have entered and not left. */
    val count: Int get() = inside.get()

    /** Whether [close] was called. */
    val draining: Boolean get() = closed.get()

    /** Lets a request in; otherwise says why not. A request that was let in must [leave]. */
    fun enter(): Problem? {
        val number = inside.incrementAndGet()
        val refusal =
            when {
                closed.get() -> unavailable(ProblemKind.DRAINING, "this daemon is stopping")
                !ready() -> unavailable(ProblemKind.NOT_READY, "this daemon has no catalogue yet")
                number > maximumRequests ->
                    unavailable(ProblemKind.OVERLOADED, "this daemon has $maximumRequests requests already")
                else -> null
            }
        if (refusal != null) leave()
        return refusal
    }

    /** Ends a request that was let in. */
    fun leave() {
        inside.decrementAndGet()
    }

    /** Lets no further request in. */
    fun close() = closed.set(true)

    private fun unavailable(kind: ProblemKind, detail: String): Problem =
        refused(kind, HttpStatusCode.ServiceUnavailable, detail, RETRY_AFTER_SECONDS)

    private companion object {
        /** Time in which the balancer has learnt that the daemon is not ready. */
        const val RETRY_AFTER_SECONDS = 1
    }
}
