package boragering.fleet

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A gateway's part in the rate of requests that one target takes from all gateways together.
 *
 * @property holders number of gateways that share the rate; the others send nothing but probes.
 * @property gateways number of all gateways.
 * @property holding whether this gateway is one of the holders.
 */
data class RateShare(val holders: Int, val gateways: Int, val holding: Boolean)

/** Determines this gateway's [RateShare] of one target. */
fun interface RateShares {
    /** The share when at most [maxHolders] gateways may hold one. */
    fun share(maxHolders: Int): RateShare
}

/**
 * Keeps one gateway's requests to one target within the rate that the target's answers state, and within the one that
 * it sustains while it is cold.
 *
 * Answers the load of many gateways before a target in need. The rate is divided among a few of them only, the more the
 * higher it is: each holder may send one request at any time, and with more holders these alone would exceed the rate.
 * The other gateways send a probe now and then, in seconds drawn at random, and hear in its answer whether the target
 * still states a limit. Times are of the monotonic clock. Not thread-safe.
 */
class TargetRate(private val shares: RateShares, private val random: Random) {
    private var statement: RateStatement = RateStatement.Unlimited
    private var statedAt = Duration.ZERO
    private var share = RateShare(holders = 1, gateways = 1, holding = true)
    private var sharedAt: Duration? = null
    private var permits = 0.0
    private var refilledAt = Duration.ZERO
    private var probeSlot = 0L
    private var mayProbe = false
    private var coldLimit: RateLimit? = null

    /** Whether this gateway is one of those that share the rate. */
    val holding: Boolean get() = share.holding

    /**
     * Records the statement in an answer that arrived at [now], to a request that was sent at [sentAt]. Returns whether
     * it is new. An answer to a request from before the last statement may be older than that.
     */
    fun record(stated: RateStatement, sentAt: Duration, now: Duration): Boolean {
        if (stated == RateStatement.Unlimited && sentAt < statedAt) return false
        refill(now)
        val changed = stated != statement
        if (limit == null) begin(now)
        if (stated !is RateStatement.Unreadable) statement = stated
        statedAt = now
        return changed
    }

    /** Ends the limit because another gateway heard at [now] that the target takes any rate again. */
    fun end(now: Duration) {
        statement = RateStatement.Unlimited
        statedAt = now
    }

    /** Whether a request may be sent to the target at [now], of which [cold] is the limit while it is cold. */
    fun mayTake(now: Duration, cold: RateLimit? = null): Boolean {
        if (cold != null && cold != coldLimit) begin(now)
        coldLimit = cold
        if (limit == null) return true
        refill(now)
        return if (share.holding) permits >= 1 else mayProbe
    }

    /** Called when a request is sent to the target at [now]. */
    fun onSend(now: Duration) {
        refill(now)
        permits = (permits - 1).coerceAtLeast(0.0)
        mayProbe = false
    }

    /** The stricter one of the stated limit and that of a cold target; `null` if neither is in force. */
    private val limit: RateLimit? get() = statedLimit?.and(coldLimit) ?: coldLimit

    private val statedLimit: RateLimit?
        get() = (statement as? RateStatement.Limited)?.perSecond?.let {
            RateLimit(it, it.coerceAtMost(MAX_HOLDERS).toInt() + EXTRA_HOLDERS)
        }

    private fun begin(now: Duration) {
        permits = 0.0
        refilledAt = now
        sharedAt = null
    }

    private fun refill(now: Duration) {
        val current = limit ?: return
        updateShare(current, now)
        if (share.holding) permits += (now - refilledAt) / 1.seconds * current.perSecond / share.holders
        permits = permits.coerceAtMost(1.0)
        refilledAt = now
        // A target that is cold says for how long; there is nothing to probe for.
        if (coldLimit == null) drawProbe(current.perSecond, now) else mayProbe = false
    }

    private fun updateShare(limit: RateLimit, now: Duration) {
        if (sharedAt.let { it != null && now - it < SHARE_INTERVAL }) return
        sharedAt = now
        share = shares.share(limit.maxHolders)
    }

    private fun drawProbe(limit: Double, now: Duration) {
        val slot = now.inWholeSeconds
        if (slot == probeSlot) return
        probeSlot = slot
        val probesPerSecond = PROBE_FRACTION * limit.coerceAtLeast(LOWEST_PROBED_RATE)
        mayProbe = random.nextDouble() < probesPerSecond / share.gateways
    }

    private companion object {
        /** Time for which a share counts before it is determined anew. */
        val SHARE_INTERVAL = 500.milliseconds

        /** Holders beyond the number of requests a second, so that more than one gateway can use a low rate. */
        const val EXTRA_HOLDERS = 2
        const val MAX_HOLDERS = 10_000.0

        /** Fraction of the rate that the probes of all gateways together may add. */
        const val PROBE_FRACTION = 0.1

        /** Rate, in requests per second, by which a target that takes fewer is probed. */
        const val LOWEST_PROBED_RATE = 1.0
    }
}
