package boragering.fleet

/**
 * A proposal that a spare instance stages [model].
 *
 * @property missing number of further holders of the model, including this instance, that a group of it needs.
 * @property urgent whether the model has too few groups and the domain has some of the instances for another one.
 */
internal data class StagingProposal(val instance: Instance, val model: ModelName, val missing: Int, val urgent: Boolean)

/**
 * Decides which weights the spare instances of one domain stage. A model that has too few groups comes first, if spare
 * instances already hold part of a group. Otherwise the plan picks the model with the fewest holders in the domain in
 * relation to its share of the work. A spare instance that holds another model is changed only for a group of which at
 * least half of the instances are available.
 *
 * @param holders number of instances of the domain that hold or stage each model, including those in groups.
 * @param lacking the models that have fewer groups than their share.
 * @param staging the models that instances are staging on their hosts.
 */
internal class StagingPlan(
    private val models: Collection<ModelProfile>,
    private val holders: Map<ModelName, Int>,
    private val lacking: Set<ModelName>,
    private val staging: Map<InstanceStart, ModelName>,
) {
    private val added = HashMap<ModelName, Int>()

    /** Returns the proposals for [spares], the spare instances of the domain. */
    fun proposals(spares: List<Instance>): List<StagingProposal> {
        val ready = models.associate { model -> model.name to spares.filter { ready(it, model.name) } }
        val empty = spares.filter { spare -> ready.values.none { spare in it } }
        val present = ready.mapValuesTo(HashMap()) { it.value.size }
        val proposals = empty.map { spare ->
            val nearest = nearestToComplete(present)
            val model = nearest ?: scarcest()
            val missing = model.groupSize - present.getValue(model.name)
            StagingProposal(spare, model.name, missing, urgent = nearest != null).also {
                present.merge(model.name, 1, Int::plus)
                added.merge(model.name, 1, Int::plus)
            }
        }
        return proposals + modelChanges(spares - empty.toSet(), present)
    }

    private fun modelChanges(spares: List<Instance>, present: Map<ModelName, Int>): List<StagingProposal> {
        val model = nearestToComplete(present)?.takeIf { present.getValue(it.name) * 2 >= it.groupSize }
            ?: return emptyList()
        val missing = model.groupSize - present.getValue(model.name)
        val candidates = spares.filter { !ready(it, model.name) && it.start !in staging }
        val sufficient = candidates.takeIf { it.size >= missing }.orEmpty()
        return sufficient.take(missing).map { StagingProposal(it, model.name, missing, urgent = true) }
    }

    /** The model with too few groups whose next group needs the fewest further instances. */
    private fun nearestToComplete(present: Map<ModelName, Int>): ModelProfile? =
        models.filter { it.name in lacking && present.getValue(it.name) in 1 until it.groupSize }
            .minByOrNull { it.groupSize - present.getValue(it.name) }

    private fun scarcest(): ModelProfile = models.sortedByDescending { it.groupSize }.minBy { model ->
        ((holders[model.name] ?: 0) + (added[model.name] ?: 0)) / model.weight
    }

    private fun ready(instance: Instance, model: ModelName): Boolean =
        instance.holds(model) || staging[instance.start] == model
}
