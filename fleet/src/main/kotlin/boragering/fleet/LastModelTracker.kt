package boragering.fleet

import kotlinx.collections.immutable.persistentSetOf

/**
 * Remembers the model of each instance's last group. The list does not show it any more once the instance has left the
 * group, though it joins another group of that model at once. Not safe for use by several threads.
 */
internal class LastModelTracker {
    private val models = HashMap<InstanceStart, ModelName>()

    /** [state] with the remembered model of each instance that shows none. */
    fun recall(state: PoolState): PoolState {
        models.keys.retainAll(state.instances.mapTo(HashSet()) { it.start })
        state.instances.forEach { instance ->
            instance.loaded.singleOrNull { it in state.engine.models }?.let { models[instance.start] = it }
        }
        return state.withInstances(state.instances.map(::recall))
    }

    private fun recall(instance: Instance): Instance {
        val model = models[instance.start].takeIf { instance.loaded.isEmpty() }
        return if (model == null) instance else instance.copy(loaded = persistentSetOf(model))
    }
}
