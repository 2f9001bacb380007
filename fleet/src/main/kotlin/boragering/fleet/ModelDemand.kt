package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The shares of a pool's instances that the models' callers need, as one gateway estimates them.
 *
 * Corrects the configured shares, which only describe the demand at the start, where the demand differs: the groups of
 * one model are full and refuse callers while those of another one are idle. The share of a model follows from the
 * requests in progress at its groups and the size of a group, with one more group for the loss of one. The estimate is
 * smoothed, since demand swings within seconds and a regrouping costs more than a second of service.
 *
 * Times are of the monotonic clock. Not thread-safe.
 */
class ModelDemand {
    private val instances = HashMap<ModelName, Double>()
    private var firstAt: Duration? = null
    private var lastAt = Duration.ZERO
    private var following = false

    /** Records the numbers of [requests] that are in progress at the groups of each model at [now]. */
    fun record(engine: EngineProfile, requests: Map<ModelName, Double>, now: Duration) {
        if (requests.values.sum() < MIN_REQUESTS) return
        val weight = if (firstAt == null) 1.0 else 1 - SMOOTHING.weight(now - lastAt)
        if (firstAt == null) firstAt = now
        lastAt = now
        instances.keys.retainAll(engine.models.keys)
        engine.models.values.forEach { model ->
            val groups = (requests[model.name] ?: 0.0) / engine.slots.coerceAtLeast(1) + SPARE_GROUPS
            val needed = groups * model.groupSize
            val before = instances[model.name] ?: needed
            instances[model.name] = before + weight * (needed - before)
        }
    }

    /** Whether the demand has been observed for long enough before [now], and recently. */
    fun known(now: Duration): Boolean =
        firstAt.let { it != null && now - it >= LEARNING_TIME } && now - lastAt < VALIDITY

    /**
     * Returns [engine] with the models' shares that the demand at [now] needs. The configured shares stay while they
     * are nearly met, and while the demand is not [known].
     */
    fun apply(engine: EngineProfile, now: Duration): EngineProfile {
        val total = instances.values.sum()
        if (!known(now) || total <= 0.0 || engine.models.keys != instances.keys) return engine
        val needed = instances.mapValues { (it.value / total).coerceAtLeast(MIN_SHARE) }
        following = mismatch(engine, needed) > if (following) TOLERATED_WHEN_FOLLOWING else TOLERATED_MISMATCH
        return if (following) engine.withShares(needed) else engine
    }

    /** How many times better one model is supplied than another one by the configured shares. */
    private fun mismatch(engine: EngineProfile, needed: Map<ModelName, Double>): Double {
        val ratios = engine.models.values.map { needed.getValue(it.name) / it.weight }
        return ratios.max() / ratios.min()
    }

    private companion object {
        /** Time constant of the estimate: several regroupings long, shorter than most changes of the demand. */
        val SMOOTHING = ExponentialDecay(memory = 8.seconds)

        /** Time for which a gateway observes the demand before it trusts its estimate. */
        val LEARNING_TIME = 4.seconds

        /** Time without requests after which the estimate is no longer used. */
        val VALIDITY = 30.seconds

        /** Requests in progress below which the proportions between models mean nothing. */
        const val MIN_REQUESTS = 3.0

        /** Groups beyond those that the requests fill. A large group loses a member more often than a small one. */
        const val SPARE_GROUPS = 1.0

        /** Each model keeps this share, so that it has a group when its callers come back. */
        const val MIN_SHARE = 0.15

        /** Ratio between the models' supplies up to which the configured shares are used. */
        const val TOLERATED_MISMATCH = 2.0

        /** The same once the demand is followed; lower, so that the planner does not change back and forth. */
        const val TOLERATED_WHEN_FOLLOWING = 1.5
    }
}

/** Returns this profile with the models' [shares], scaled to a sum of one. */
internal fun EngineProfile.withShares(shares: Map<ModelName, Double>): EngineProfile {
    val total = shares.values.sum()
    val changed = models.values.map { it.copy(share = shares.getValue(it.name) / total) }
    return copy(models = models.putAll(changed.associateBy { it.name }))
}
