package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.FabricDomain

/**
 * The state of a pool at one step of a [GroupPlanner]: its engine profile and its listed [instances].
 *
 * @param unreachable starts of instances that are listed but do not answer.
 * @param evacuated availability zones whose instances get no orders; the pool consists of those in the other zones.
 * @property demandKnown whether the models' shares are known to fit the demand, so that groups may be exchanged for it.
 * @property shortages the models whose callers are rejected, each with the number of groups that its demand fills.
 */
class PoolState(
    val engine: EngineProfile,
    val instances: List<Instance>,
    private val unreachable: Set<InstanceStart> = emptySet(),
    private val evacuated: Set<AvailabilityZone> = emptySet(),
    val demandKnown: Boolean = true,
    val shortages: Map<ModelName, Double> = emptyMap(),
) {
    private val answeringByStart =
        instances.filter { it.start !in unreachable && !isEvacuated(it) }.associateBy { it.start }

    /** The listed instances in evacuated zones. */
    val withheld: List<Instance> get() = instances.filter(::isEvacuated)

    /** The listed instances in open zones that answer. */
    val answering: Collection<Instance> get() = answeringByStart.values

    /** The instances in [answering] that are not leaving. */
    val serving: List<Instance> = answering.filter { it.state == InstanceState.SERVING }

    /** Returns this state with the instances replaced by [changed]. */
    fun withInstances(changed: List<Instance>): PoolState =
        PoolState(engine, changed, unreachable, evacuated, demandKnown, shortages)

    /** Whether [instance] is in an evacuated zone. */
    fun isEvacuated(instance: Instance): Boolean = instance.availabilityZone in evacuated

    /**
     * Returns the listed instance; `null` if this [start] of the instance is not listed, does not answer or is in an
     * evacuated zone.
     */
    fun find(start: InstanceStart): Instance? = answeringByStart[start]
}

/** The fabric domain for forming groups. All instances without a domain share one. */
internal val Instance.groupDomain: FabricDomain get() = domain ?: NO_DOMAIN

/** Whether the instance is listed as a head that accepts requests or finishes its running ones. */
internal val Instance.leadsServingGroup: Boolean
    get() = membership?.state == MemberState.OPEN || membership?.state == MemberState.CLOSING

/** Whether the instance can join a group of [model] without a load from the weight store. */
internal fun Instance.holds(model: ModelName): Boolean = model in loaded || model in staged

private val NO_DOMAIN = FabricDomain("")
