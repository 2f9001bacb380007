package boragering.fleet

import boragering.core.FabricDomain
import kotlin.time.Duration

/** The members chosen for a new group; the first one becomes the head. */
internal data class Composition(val model: ModelName, val members: List<Instance>)

/**
 * The input of a [GroupComposer].
 *
 * @property free the instances of each domain that belong to no group.
 * @property waiting domains in which no group is formed now, because more instances will soon be listed or free there.
 * @property usable number of serving instances of each domain.
 * @property assigned number of instances of each model in groups within a domain that are not ending.
 * @property staging the models that instances are staging on their hosts.
 */
internal class CompositionInput(
    val engine: EngineProfile,
    val free: Map<FabricDomain, List<Instance>>,
    val waiting: Set<FabricDomain>,
    val usable: Map<FabricDomain, Int>,
    val assigned: Map<ModelName, Int>,
    val staging: Map<InstanceStart, ModelName>,
) {
    /** Number of instances of [domain] that are kept out of groups, so that they can replace lost members. */
    fun sparesOf(domain: FabricDomain): Int = (usable[domain] ?: 0) / INSTANCES_PER_SPARE

    /** Whether a group of [model] leaves enough of the [free] instances of [domain] to replace lost members. */
    fun leavesSpares(model: ModelProfile, domain: FabricDomain, free: Int): Boolean =
        free - model.groupSize >= sparesOf(domain)

    /** Whether [model] has fewer instances in groups than its share of the work needs. */
    fun lacksGroups(model: ModelProfile): Boolean =
        (assigned[model.name] ?: 0) < usable.values.sumOf(model::instancesInGroups)

    /** How much it costs that [instance] joins a group of [model]; a weight load costs most. */
    fun joinCost(instance: Instance, model: ModelName): Int = when {
        model in instance.loaded -> 0
        model in instance.staged -> STAGED_COST
        staging[instance.start] == model -> STAGING_COST
        else -> LOAD_COST
    }

    companion object {
        private const val INSTANCES_PER_SPARE = 8
        private const val STAGED_COST = 1
        private const val STAGING_COST = 2
        private const val LOAD_COST = 10

        /**
         * The input for the [state] of a pool at [now]: its instances outside [formations], the domains that [growth]
         * expects to grow, and the models that instances are [staging].
         */
        fun of(
            formations: FormationRegistry,
            growth: PoolGrowthTracker,
            staging: Map<InstanceStart, ModelName>,
            state: PoolState,
            now: Duration,
        ): CompositionInput {
            val members = formations.members
            val free = state.serving.filter { it.start !in members && !formations.headMayStillServe(it) }
                .groupBy { it.groupDomain }
            val ending = formations.ending(now)
            return CompositionInput(
                engine = state.engine,
                free = free,
                waiting = free.keys.filterTo(HashSet()) { it in ending || growth.growing(it, now) },
                usable = state.serving.groupingBy { it.groupDomain }.eachCount(),
                assigned = formations.assigned(),
                staging = staging,
            )
        }
    }
}

/**
 * Decides which groups to form from the free instances, and which models the remaining spare instances stage.
 *
 * Forms groups within one fabric domain only; a [CrossDomainPlan] decides on others. Models get instances in
 * proportion to their share of the work. Weight loads are scarce: the weight store serves only a few at a time, and
 * each takes many times as long as a warm-up. Therefore a group is formed only once all its members hold the weights.
 * Until then the instances stay free for any group that can be formed earlier. Each domain keeps spare instances to
 * replace lost members quickly.
 */
internal class GroupComposer(private val input: CompositionInput) {
    private val engine = input.engine
    private val free = input.free.mapValuesTo(HashMap()) { it.value.toMutableList() }
    private val assigned = HashMap(input.assigned)

    /** The instances that are still free after the compositions made so far. */
    val spares: List<Instance> get() = free.values.flatten()

    /** A group that could be formed. [ready] tells whether all its members hold the weights. */
    private class GroupOption(
        val model: ModelProfile,
        val domain: FabricDomain,
        val members: List<Instance>,
        val ready: Boolean,
    )

    /**
     * Composes the first groups of a pool, regardless of the weight loads that they need. Domains are divided one after
     * the other, because a small group in a domain that is not divided yet could leave too few instances for a large
     * group.
     */
    fun composeInitial(): List<Composition> = free.keys.sortedBy { it.value }.flatMap { domain ->
        generateSequence {
            val options = engine.models.values.mapNotNull { option(it, domain) }
            takeScarcest(options.filter(::balanced))
        }.toList()
    }

    /** Composes further groups for a pool that already has had groups. */
    fun compose(): List<Composition> = generateSequence {
        val domains = free.keys - input.waiting
        val options = engine.models.values.flatMap { model -> domains.mapNotNull { option(model, it) } }
        takeScarcest(options.filter { it.ready && affordable(it) })
    }.toList()

    /** Takes [members] out of the free instances, for a group that this composer has not composed. */
    fun take(members: List<Instance>) = free.values.forEach { it.removeAll(members) }

    /**
     * Proposes which models the remaining spare instances stage, the most urgent first. [holders] returns the number of
     * instances of a domain that count as holding a model.
     */
    fun stagings(holders: (FabricDomain, ModelName) -> Int): List<StagingProposal> {
        val models = engine.models.values
        val lacking = models.filter(::lacksGroups).mapTo(HashSet()) { it.name }
        return free.flatMap { (domain, spares) ->
            val held = models.associate { it.name to holders(domain, it.name) }
            StagingPlan(models, held, lacking, input.staging).proposals(spares)
        }.sortedWith(compareBy({ !it.urgent }, { it.missing }))
    }

    private fun takeScarcest(options: List<GroupOption>): Composition? {
        val order = compareBy<GroupOption> { supply(it.model) }.thenBy { -it.model.groupSize }
        val chosen = options.minWithOrNull(order.thenBy { it.domain.value }) ?: return null
        free.getValue(chosen.domain).removeAll(chosen.members)
        assigned.merge(chosen.model.name, chosen.model.groupSize, Int::plus)
        return Composition(chosen.model.name, chosen.members)
    }

    private fun option(model: ModelProfile, domain: FabricDomain): GroupOption? {
        val instances = free.getValue(domain)
        if (!input.leavesSpares(model, domain, instances.size)) return null
        val members = instances.sortedBy { input.joinCost(it, model.name) }.take(model.groupSize)
        return GroupOption(model, domain, members, ready = members.all { it.holds(model.name) })
    }

    private fun lacksGroups(model: ModelProfile): Boolean =
        (assigned[model.name] ?: 0) < input.usable.values.sumOf(model::instancesInGroups)

    /**
     * Whether the group can be formed without harm to other models. A group beyond its model's share requires that the
     * model is [balanced] with the others. It must also leave one spare instance for each model, because further losses
     * are to be expected.
     */
    private fun affordable(option: GroupOption): Boolean {
        val remaining = free.getValue(option.domain).size - option.model.groupSize
        return lacksGroups(option.model) || balanced(option) && remaining >= engine.models.size
    }

    private fun balanced(option: GroupOption): Boolean {
        val scarcest = engine.models.values.minOf(::supply)
        return supply(option.model) <= scarcest * TOLERATED_IMBALANCE
    }

    /** Number of instances in groups of [model] in relation to its share of the work. */
    private fun supply(model: ModelProfile): Double = (assigned[model.name] ?: 0) / model.weight

    private companion object {
        /** Models with more than this multiple of the scarcest model's supply leave free instances to other models. */
        const val TOLERATED_IMBALANCE = 1.5
    }
}
