package boragering.fleet

/**
 * The pool that one step of a [GroupPlanner] is based on: how its engines work, and its listed [instances].
 *
 * @property unreachable starts of instances that are listed but do not answer.
 */
class PoolState(
    val engine: EngineProfile,
    val instances: List<Instance>,
    private val unreachable: Set<InstanceStart> = emptySet(),
) {
    private val listed = instances.associateBy { it.start }

    /** The instance as it is listed now; `null` when this start of it is not listed or does not answer. */
    fun present(start: InstanceStart): Instance? = listed[start]?.takeIf { start !in unreachable }
}
