package boragering.fleet

import boragering.core.FabricDomain

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
    private val answeringByStart = instances.filter { it.start !in unreachable }.associateBy { it.start }

    /** The listed instances that answer. */
    val answering: Collection<Instance> get() = answeringByStart.values

    /** Those of them that take requests. */
    val serving: List<Instance> = answering.filter { it.state == InstanceState.SERVING }

    /** The same pool with [changed] in place of the instances. */
    fun withInstances(changed: List<Instance>): PoolState = PoolState(engine, changed, unreachable)

    /** The instance as it is listed now; `null` when this start of it is not listed or does not answer. */
    fun find(start: InstanceStart): Instance? = answeringByStart[start]
}

/** The domain within which the instance's groups stay; instances that name none share one. */
internal val Instance.groupDomain: FabricDomain get() = domain ?: NO_DOMAIN

/** Whether the instance is listed as a head that takes or finishes requests. */
internal val Instance.leadsServingGroup: Boolean
    get() = membership?.state == MemberState.OPEN || membership?.state == MemberState.CLOSING

/** Whether the instance can join a group of [model] without a load from the store of weights. */
internal fun Instance.holds(model: ModelName): Boolean = model in loaded || model in staged

private val NO_DOMAIN = FabricDomain("")
