package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the retries that all gateways together may send to one service in any span of [window]: [ratio] of the
 * requests for it, and [slack] more.
 */
data class RetryLimits(val ratio: Double, val slack: Double, val window: Duration)

/**
 * This gateway's part of a service's retries. The window slides, since a burst at the border of two fixed windows
 * would exceed the limit; a decaying sum would let twice the slack through in one window. Not safe for use by several
 * threads.
 */
class RetryAllowance(private val limits: RetryLimits) {
    private val requests = SlidingCount(limits.window)
    private val retries = SlidingCount(limits.window)

    /** Counts a request that arrived at [now], a time of the monotonic clock. */
    fun request(now: Duration) = requests.add(now)

    /** Takes one retry; `false` when this gateway's part, one of [gateways], is used up. */
    fun take(now: Duration, gateways: Int): Boolean {
        val allowed = limits.ratio * requests.count(now) + limits.slack * SLACK_IN_USE / gateways.coerceAtLeast(1)
        return (retries.count(now) + 1 <= allowed).also { if (it) retries.add(now) }
    }

    private companion object {
        /** Leaves room for gateways that others do not know of yet. */
        const val SLACK_IN_USE = 0.8
    }
}

/** Counts what happened in the last [window], rounded up to a bucket. Not safe for use by several threads. */
internal class SlidingCount(window: Duration) {
    private val buckets = IntArray(((window / BUCKET).toInt() + 2).coerceAtLeast(2))
    private var newest = 0L

    fun add(now: Duration) {
        advance(now)
        buckets[slot(newest)] += 1
    }

    fun count(now: Duration): Int {
        advance(now)
        return buckets.sum()
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
