package boragering.fleet

import boragering.core.FabricDomain

/** A proposal that [instance], which has loaded another model, also stages [model]. */
internal data class ReserveProposal(val instance: Instance, val model: ModelName)

/**
 * Decides which instances keep the weights of a second model on their hosts. A domain's reserve of a model consists of
 * the instances that hold its weights but are not in a group of that model. Spare instances come first, because they
 * can join a group at once; then members of groups, which can do so when their group has ended.
 *
 * Answers the loss of instances faster than weights are loaded: a load takes many times as long as a regrouping.
 *
 * @param staging the models that instances are staging on their hosts.
 */
internal class ReservePlan(
    private val serving: List<Formation>,
    private val state: PoolState,
    private val staging: Map<InstanceStart, ModelName>,
) {
    private val models = state.engine.models.values.sortedByDescending { it.groupSize }

    /** Returns the proposals, ordered by the current size of the reserve to which they add, smallest first. */
    fun proposals(): List<ReserveProposal> {
        if (models.size < 2) return emptyList()
        val members = standbys() + serving.flatMap { group -> group.members.mapNotNull { state.find(it.start) } }
        val present = state.serving.groupBy { it.groupDomain }
        return members.groupBy { it.groupDomain }
            .flatMap { (domain, domainMembers) -> proposals(domain, domainMembers, present) }
            .sortedBy { it.first }
            .map { it.second }
    }

    /** Spare instances that have loaded a model. With a second one staged they can replace a member of either. */
    private fun standbys(): List<Instance> = state.serving.filter { instance ->
        instance.loaded.isNotEmpty() && instance.membership.let { it != null && GroupEpochs.standby(it.group) }
    }

    private fun proposals(
        domain: FabricDomain,
        members: List<Instance>,
        present: Map<FabricDomain, List<Instance>>,
    ): List<Pair<Int, ReserveProposal>> {
        val all = present[domain].orEmpty()
        return models.mapNotNull { model ->
            val reserve = all.count { reserves(it, model.name) }
            val wanted = maxOf(1, all.size / INSTANCES_PER_RESERVE)
            val candidate = members.firstOrNull { !holds(it, model.name) && it.start !in staging }
            candidate?.takeIf { reserve < wanted }?.let { reserve to ReserveProposal(it, model.name) }
        }
    }

    private fun reserves(instance: Instance, model: ModelName): Boolean =
        holds(instance, model) && (instance.membership == null || model !in instance.loaded)

    private fun holds(instance: Instance, model: ModelName): Boolean =
        instance.holds(model) || staging[instance.start] == model

    private companion object {
        /** Number of a domain's serving instances for each instance in the reserve of a model. */
        const val INSTANCES_PER_RESERVE = 3
    }
}
