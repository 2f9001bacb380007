package boragering.fleet

/**
 * That a spare instance should stage [model]; [missing] instances are needed until a group of it can be formed.
 *
 * @property urgent whether the model lacks groups and others of the group are there.
 */
internal data class StagingProposal(val instance: Instance, val model: ModelName, val missing: Int, val urgent: Boolean)

/**
 * Decides which weights the spare instances of one domain stage: first what completes a group of a model that lacks
 * groups, and otherwise the model of which the domain holds the least for its share of the work. A spare instance that
 * holds another model changes only for a group of which at least half is there.
 *
 * @param holders number of instances of the domain that hold or stage each model, those in groups included.
 * @param lacking models that have fewer groups than their share.
 * @param staging models that instances are loading to their hosts.
 */
internal class StagingPlan(
    private val models: Collection<ModelProfile>,
    private val holders: Map<ModelName, Int>,
    private val lacking: Set<ModelName>,
    private val staging: Map<InstanceStart, ModelName>,
) {
    private val added = HashMap<ModelName, Int>()

    /** What [spares] should stage. */
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
        val model = nearestToComplete(present)?.takeIf { present.getValue(it.name) * 2 >= it.groupSize } ?: return emptyList()
        val missing = model.groupSize - present.getValue(model.name)
        val candidates = spares.filter { !ready(it, model.name) && it.start !in staging }
        val sufficient = candidates.takeIf { it.size >= missing }.orEmpty()
        return sufficient.take(missing).map { StagingProposal(it, model.name, missing, urgent = true) }
    }

    /** The lacking model of which a group is nearest to being complete. */
    private fun nearestToComplete(present: Map<ModelName, Int>): ModelProfile? =
        models.filter { it.name in lacking && present.getValue(it.name) in 1 until it.groupSize }
            .minByOrNull { it.groupSize - present.getValue(it.name) }

    private fun scarcest(): ModelProfile = models.sortedByDescending { it.groupSize }.minBy { model ->
        ((holders[model.name] ?: 0) + (added[model.name] ?: 0)) / model.weight
    }

    private fun ready(instance: Instance, model: ModelName): Boolean =
        instance.holds(model) || staging[instance.start] == model
}
