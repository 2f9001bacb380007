package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The shares of a pool's instances that the models' callers need, as one gateway estimates them.
 *
 * Corrects the configured shares, which only describe the demand at the start, where the demand differs: the groups of
 * one model are full and refuse callers while those of another one are idle. The share of a model follows from the
 * requests that are or would be in progress at its groups and the size of a group, with one more group for the loss of
 * one. The estimate is smoothed, since demand swings within seconds and a regrouping costs more than a second of
 * service.
 *
 * While one model's callers are rejected and another one's are not, the shares follow the demand however close they are
 * to it, and the model that serves all its callers gives its spare group up. They do so for longer if the same model
 * was short before ([ModelShortages]).
 *
 * Times are of the monotonic clock. Not thread-safe.
 */
class ModelDemand {
    private val groups = HashMap<ModelName, Double>()
    private val shortages = ModelShortages()
    private var firstAt: Duration? = null
    private var lastAt = Duration.ZERO
    private var following = false

    /** Records the [loads] of the models at [now]. */
    fun record(engine: EngineProfile, loads: Map<ModelName, ModelLoad>, now: Duration) {
        if (loads.values.sumOf { it.requests } < MIN_REQUESTS) return
        val weight = if (firstAt == null) 1.0 else 1 - SMOOTHING.weight(now - lastAt)
        if (firstAt == null) firstAt = now
        lastAt = now
        groups.keys.retainAll(engine.models.keys)
        shortages.retain(engine.models.keys)
        engine.models.keys.forEach { model ->
            val load = loads[model] ?: ModelLoad(requests = 0.0)
            val busy = load.requests / engine.slots.coerceAtLeast(1)
            val before = groups[model] ?: busy
            groups[model] = before + weight * (busy - before)
            if (load.unservedShare > TOLERATED_UNSERVED_SHARE) shortages.record(model, now)
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
        if (!known(now) || engine.models.keys != groups.keys) return engine
        val rejecting = shortages.rejectedRecently(now)
        val oneSided = rejecting.isNotEmpty() && rejecting.size < engine.models.size
        val short = if (oneSided) rejecting else shortages.models(now)
        val unequal = short.isNotEmpty() && short.size < engine.models.size
        val needed = neededShares(engine) { if (!unequal || it in short) SPARE_GROUPS else 0.0 }
        val tolerated = if (following) TOLERATED_WHEN_FOLLOWING else TOLERATED_MISMATCH
        // Where all models are short in turn, groups would otherwise be dissolved and formed again each time.
        val kept = following && shortages.anyRecurs(now)
        following = unequal || kept || mismatch(engine, needed) > tolerated
        return if (following) engine.withShares(needed) else engine
    }

    /** The models of which callers were rejected shortly before [now], with the groups that their demand fills. */
    fun shortages(now: Duration): Map<ModelName, Double> =
        if (known(now)) groups.filterKeys { it in shortages.rejectedRecently(now) } else emptyMap()

    private fun neededShares(engine: EngineProfile, spareGroups: (ModelName) -> Double): Map<ModelName, Double> {
        val instances = engine.models.values.associate { model ->
            model.name to (groups.getValue(model.name) + spareGroups(model.name)) * model.groupSize
        }
        val total = instances.values.sum()
        return instances.mapValues { (it.value / total).coerceAtLeast(MIN_SHARE) }
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

        /** Fraction of a model's requests that may find no capacity before the model counts as short of groups. */
        const val TOLERATED_UNSERVED_SHARE = 0.05

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
