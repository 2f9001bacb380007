package boragering.fleet

import boragering.core.FabricDomain

/** The members chosen for a new group; the first one becomes the head. */
internal data class Composition(val model: ModelName, val members: List<Instance>)

/**
 * What a [GroupComposer] decides on.
 *
 * @property free the instances of each domain that belong to no group.
 * @property waiting domains that get no group now, since more instances are about to come or to be free there.
 * @property usable number of serving instances of each domain.
 * @property assigned number of instances in groups of each model.
 * @property staging models that instances are loading to their hosts.
 */
internal class CompositionInput(
    val engine: EngineProfile,
    val free: Map<FabricDomain, List<Instance>>,
    val waiting: Set<FabricDomain>,
    val usable: Map<FabricDomain, Int>,
    val assigned: Map<ModelName, Int>,
    val staging: Map<InstanceStart, ModelName>,
) {
    /** Number of instances of [domain] that no group takes, so that lost members can be replaced. */
    fun sparesOf(domain: FabricDomain): Int = (usable[domain] ?: 0) / INSTANCES_PER_SPARE

    private companion object {
        const val INSTANCES_PER_SPARE = 8
    }
}

/**
 * Decides which groups to form of the instances that are free, and which models the remaining spare instances stage.
 *
 * Groups stay within one fabric domain. Models get instances by their share of the work. Loads of weights are scarce:
 * the store of weights serves a few at a time, and each takes many times as long as a warm-up. So a group is formed
 * once all its members hold the weights; until then these stay free for whatever can be formed first. Each domain keeps
 * spare instances, so that a group that loses a member is soon whole again.
 */
internal class GroupComposer(private val input: CompositionInput) {
    private val engine = input.engine
    private val free = input.free.mapValuesTo(HashMap()) { it.value.toMutableList() }
    private val assigned = HashMap(input.assigned)

    /** The instances that belong to no group, also none composed here. */
    val spares: List<Instance> get() = free.values.flatten()

    /** A group that could be formed; [ready] tells whether all its members hold the weights. */
    private class GroupOption(
        val model: ModelProfile,
        val domain: FabricDomain,
        val members: List<Instance>,
        val ready: Boolean,
    )

    /**
     * The groups of a pool that has none, whatever loads they need. One domain is divided after the other, since a
     * small group in a domain that is not divided yet could leave too few instances for a large one.
     */
    fun composeInitial(): List<Composition> = free.keys.sortedBy { it.value }.flatMap { domain ->
        generateSequence {
            val options = engine.models.values.mapNotNull { option(it, domain) }
            takeScarcest(options.filter(::balanced))
        }.toList()
    }

    /** The groups to add to a pool that has some. */
    fun compose(): List<Composition> = generateSequence {
        val domains = free.keys - input.waiting
        val options = engine.models.values.flatMap { model -> domains.mapNotNull { option(model, it) } }
        takeScarcest(options.filter { it.ready && affordable(it) })
    }.toList()

    /** What the remaining spare instances should stage, the most urgent first. */
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
        if (instances.size - model.groupSize < input.sparesOf(domain)) return null
        val members = instances.sortedBy { joinCost(it, model.name) }.take(model.groupSize)
        return GroupOption(model, domain, members, ready = members.all { it.holds(model.name) })
    }

    private fun lacksGroups(model: ModelProfile): Boolean =
        (assigned[model.name] ?: 0) < input.usable.values.sumOf(model::instancesInGroups)

    /** A group beyond its model's share leaves a spare instance for each model, as losses go on, and a balance. */
    private fun affordable(option: GroupOption): Boolean {
        val remaining = free.getValue(option.domain).size - option.model.groupSize
        return lacksGroups(option.model) || balanced(option) && remaining >= engine.models.size
    }

    private fun balanced(option: GroupOption): Boolean {
        val scarcest = engine.models.values.minOf(::supply)
        return supply(option.model) <= scarcest * TOLERATED_IMBALANCE
    }

    private fun supply(model: ModelProfile): Double = (assigned[model.name] ?: 0) / model.weight

    private fun joinCost(instance: Instance, model: ModelName): Int = when {
        model in instance.loaded -> 0
        model in instance.staged -> STAGED_COST
        input.staging[instance.start] == model -> STAGING_COST
        else -> LOAD_COST
    }

    private companion object {
        /** Models with more than this multiple of the scarcest model's supply leave their instances to it. */
        const val TOLERATED_IMBALANCE = 1.5
        const val STAGED_COST = 1
        const val STAGING_COST = 2
        const val LOAD_COST = 10
    }
}
