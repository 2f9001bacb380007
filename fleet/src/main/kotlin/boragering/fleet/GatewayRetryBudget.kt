package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the retries that all gateways together may send to one service in any period of length [window]: [ratio] times
 * the number of requests for the service, plus [slack].
 */
data class RetryLimits(val ratio: Double, val slack: Double, val window: Duration)

/**
 * Limits the retries that this gateway sends to one service, as its share of the limit for all gateways. The window
 * slides, because a burst at the boundary of two fixed windows would exceed the limit, and a decaying sum would allow
 * twice the slack in one window. Gateways that ended within the window count as if they had used their shares. For one
 * window after its start, a gateway uses only half of its share, because its predecessor has sent retries too. Not
 * thread-safe.
 *
 * @param startedAt when the gateway started, a time of the monotonic clock.
 */
class GatewayRetryBudget(private val limits: RetryLimits, private val startedAt: Duration) {
    private val requests = SlidingWindowCounter(limits.window)
    private val retries = SlidingWindowCounter(limits.window)
    private val gateways = SlidingWindowCounter(limits.window)

    /** Counts a request that arrived at [now], a time of the monotonic clock. */
    fun recordRequest(now: Duration) = requests.add(now)

    /** Acquires one retry; returns `false` when this gateway's share, one of [gatewayCount], is used up. */
    fun tryAcquire(now: Duration, gatewayCount: Int): Boolean {
        gateways.raiseToAtLeast(now, gatewayCount.coerceAtLeast(1))
        val ratio = limits.ratio * requests.atMostWindow(now).sum()
        val slack = limits.slack * USABLE_SLACK_FRACTION / gateways.atLeastWindow(now).max()
        val allowed = (ratio + slack) * if (now - startedAt < limits.window) STARTUP_FRACTION else 1.0
        return (retries.atLeastWindow(now).sum() + 1 <= allowed).also { if (it) retries.add(now) }
    }

    private companion object {
        /** Fraction of the slack in use; the rest is left for gateways that others have not discovered yet. */
        const val USABLE_SLACK_FRACTION = 0.8
        const val STARTUP_FRACTION = 0.5
    }
}

/** Counts events in buckets over a sliding [window]. Not thread-safe. */
internal class SlidingWindowCounter(window: Duration) {
    private val windowBuckets = (window / BUCKET).toInt().coerceAtLeast(1)
    private val buckets = IntArray(windowBuckets + 2)
    private var newest = 0L

    fun add(now: Duration) {
        advance(now)
        buckets[slot(newest)] += 1
    }

    /** Raises the count of the current bucket to at least [value]. */
    fun raiseToAtLeast(now: Duration, value: Int) {
        advance(now)
        buckets[slot(newest)] = maxOf(buckets[slot(newest)], value)
    }

    /** The counts of a span slightly longer than the window. */
    fun atLeastWindow(now: Duration): IntArray {
        advance(now)
        return buckets
    }

    /** The counts of a span no longer than the window. */
    fun atMostWindow(now: Duration): IntArray {
        advance(now)
        return IntArray(windowBuckets) { buckets[slot(newest - it)] }
    }

    private fun advance(now: Duration) {
        val bucket = now.inWholeMilliseconds / BUCKET.inWholeMilliseconds
        if (bucket - newest > buckets.size) newest = bucket - buckets.size
        while (newest < bucket) {
            newest += 1
            buckets[slot(newest)] = 0
        }
    }

    private fun slot(bucket: Long): Int = Math.floorMod(bucket, buckets.size.toLong()).toInt()

    private companion object {
        val BUCKET = 1.seconds
    }
}
