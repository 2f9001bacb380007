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
 * @property loads number of loads that may begin now.
 */
internal class CompositionInput(
    val engine: EngineProfile,
    val free: Map<FabricDomain, List<Instance>>,
    val waiting: Set<FabricDomain>,
    val usable: Map<FabricDomain, Int>,
    val assigned: Map<ModelName, Int>,
    val staging: Map<InstanceStart, ModelName>,
    val loads: Int,
)

/**
 * Decides which groups to form of the instances that are free, and which models the remaining spare instances stage.
 *
 * Groups stay within one fabric domain. Models get instances by their share of the work. Loads of weights are scarce:
 * the store of weights serves a few at a time, and each takes many times as long as a warm-up. So groups whose members
 * hold the weights come first, and others only for models that have less than their share. Each domain keeps spare
 * instances, so that a group that loses a member is whole again after a warm-up.
 */
internal class GroupComposer(private val input: CompositionInput) {
    private val engine = input.engine
    private val free = input.free.mapValuesTo(HashMap()) { it.value.toMutableList() }
    private val assigned = HashMap(input.assigned)
    private var loads = input.loads

    /** A group that could be formed, and the number of loads that it needs. */
    private class Option(val model: ModelProfile, val domain: FabricDomain, val members: List<Instance>, val loads: Int)

    /**
     * The groups of a pool that has none, whatever loads they need. One domain is divided after the other, since a
     * small group in a domain that is not divided yet could leave too few instances for a large one.
     */
    fun divide(): List<Composition> = free.keys.sortedBy { it.value }.flatMap { domain ->
        generateSequence {
            val options = engine.models.values.mapNotNull { option(it, domain) }
            take(options.filter(::balanced)) { 0 }
        }.toList()
    }

    /** The groups to add to a pool that has some. */
    fun compose(): List<Composition> = generateSequence {
        val domains = free.keys - input.waiting
        val options = engine.models.values.flatMap { model -> domains.mapNotNull { option(model, it) } }
        take(options.filter(::permitted)) { it.loads }
    }.toList()

    /**
     * For each spare instance that holds no model, the one to stage: that of which the instances of its domain hold the
     * least for its share of the work.
     */
    fun stagings(holders: (FabricDomain, ModelName) -> Int): List<Pair<Instance, ModelName>> =
        free.flatMap { (domain, spares) ->
            val models = engine.models.values.sortedByDescending { it.groupSize }
            val counts = models.associateTo(HashMap()) { it.name to holders(domain, it.name) }
            val empty = spares.filter { spare -> models.none { joinCost(spare, it.name) < LOAD_COST } }
            empty.mapNotNull { spare ->
                val scarcest = models.minByOrNull { counts.getValue(it.name) / it.weight }?.name
                scarcest?.let { spare to it }.also { if (scarcest != null) counts.merge(scarcest, 1, Int::plus) }
            }
        }

    /** The spare instances whose weights lie on their hosts only, and the model that each of them holds. */
    fun standbys(): List<Pair<Instance, ModelName>> = free.values.flatten()
        .filter { it.loaded.isEmpty() && it.start !in input.staging }
        .mapNotNull { spare -> spare.staged.firstOrNull { it in engine.models }?.let { spare to it } }

    private fun take(options: List<Option>, cost: (Option) -> Int): Composition? {
        val order = compareBy<Option> { cost(it) }.thenBy { supply(it.model) }.thenBy { -it.model.groupSize }
        val chosen = options.minWithOrNull(order.thenBy { it.domain.value }) ?: return null
        free.getValue(chosen.domain).removeAll(chosen.members)
        assigned.merge(chosen.model.name, chosen.model.groupSize, Int::plus)
        loads -= chosen.loads
        return Composition(chosen.model.name, chosen.members)
    }

    private fun option(model: ModelProfile, domain: FabricDomain): Option? {
        val instances = free.getValue(domain)
        if (instances.size - model.groupSize < (input.usable[domain] ?: 0) / INSTANCES_PER_SPARE) return null
        val members = instances.sortedBy { joinCost(it, model.name) }.take(model.groupSize)
        return Option(model, domain, members, members.count { joinCost(it, model.name) >= LOAD_COST })
    }

    private fun permitted(option: Option): Boolean {
        val lacking = (assigned[option.model.name] ?: 0) < input.usable.keys.sumOf { inGroups(option.model, it) }
        return balanced(option) && (option.loads == 0 || lacking && option.loads <= loads)
    }

    private fun balanced(option: Option): Boolean {
        val scarcest = engine.models.values.minOf(::supply)
        return supply(option.model) <= scarcest * TOLERATED_IMBALANCE
    }

    private fun supply(model: ModelProfile): Double = (assigned[model.name] ?: 0) / model.weight

    private val ModelProfile.weight: Double get() = share.coerceAtLeast(SMALLEST_SHARE)

    private fun joinCost(instance: Instance, model: ModelName): Int = when {
        model in instance.loaded -> 0
        model in instance.staged -> STAGED_COST
        input.staging[instance.start] == model -> STAGING_COST
        else -> LOAD_COST
    }

    /** Instances of [domain] that groups of [model] should have, by its share of the work. */
    private fun inGroups(model: ModelProfile, domain: FabricDomain): Int {
        val groups = model.share * (input.usable[domain] ?: 0) / model.groupSize
        return (groups + ROUNDING).toInt() * model.groupSize
    }

    private companion object {
        const val INSTANCES_PER_SPARE = 8
        const val SMALLEST_SHARE = 0.01

        /** Models with more than this multiple of the scarcest model's supply leave their instances to it. */
        const val TOLERATED_IMBALANCE = 1.5

        /** Part of a group from which on a domain should have one more. */
        const val ROUNDING = 0.3
        const val STAGED_COST = 1
        const val STAGING_COST = 2
        const val LOAD_COST = 10
    }
}
