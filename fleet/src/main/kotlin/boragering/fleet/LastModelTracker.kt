package boragering.fleet

import kotlinx.collections.immutable.persistentSetOf

/**
 * Remembers the model of each instance's last group. Once an instance has left its group, the list no longer shows the
 * model, although the instance can join another group of that model immediately. Not thread-safe.
 */
internal class LastModelTracker {
    private val models = HashMap<InstanceStart, ModelName>()

    /** Returns [state] with the remembered model added to each instance that is listed without a loaded model. */
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
