package boragering.core.groups

import boragering.core.InstanceId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry

/** An instance that can be assigned, with its newest report. */
internal class SpareInstance(val listed: ListedInstance, val report: InstanceReport) {
    /** The instance as a member of a group. */
    val member: Member get() = Member(listed.id, report.incarnation, listed.address)

    /** Whether the instance already has the weights of [entry]. */
    fun hasWeights(entry: Entry): Boolean =
        entry is ModelEntry && report.model == entry.model && report.modelVersion == entry.modelVersion
}

/**
 * The domain's instances that can be assigned. Such an instance is listed as live, has reported recently, and its
 * incarnation has been known for the settle time. It is not leaving, has not failed to load recently, and is not
 * finishing requests after a release. It is in no group of this domain and, with the same incarnation, in no group of
 * another domain.
 */
internal class SpareInstances(private val input: PlanningInput) {
    private val assigned = input.division.groups.flatMapTo(HashSet()) { group -> group.members.map { it.instance } }
    private val excluded = HashSet<InstanceId>()
    private val byPool: MutableMap<String, MutableMap<InstanceId, SpareInstance>> = HashMap()

    init {
        input.listed.keys.filter { it !in assigned }.forEach(::add)
    }

    /** Number of instances of [pool] that can be assigned. */
    fun count(pool: String): Int = byPool[pool]?.size ?: 0

    /** The instances of [pool] that can be assigned, in order of preference for [entry]. */
    fun ranked(pool: String, entry: Entry): List<SpareInstance> =
        byPool[pool]?.values.orEmpty()
            .sortedWith(compareByDescending<SpareInstance> { it.hasWeights(entry) }.thenBy { it.listed.id.value })

    /**
     * Whether [instance], a member to be replaced, can be assigned again. With [settled], its incarnation must already
     * have been known for long enough to assign it now; without, it may have to wait for that.
     */
    fun canReturn(instance: InstanceId, settled: Boolean): Boolean =
        spare(instance) != null && (!settled || isSettled(instance))

    /** Prevents the assignment of [instances] in this step. */
    fun exclude(instances: List<InstanceId>) {
        excluded += instances
    }

    /** Marks [instances] as members of a group, so that they are no longer spare. */
    fun markAssigned(instances: List<InstanceId>) {
        assigned += instances
        byPool.values.forEach { it.keys.removeAll(instances.toSet()) }
    }

    /** Marks [instances] as members of no group, and makes those spare that can be assigned. */
    fun markUnassigned(instances: List<InstanceId>) {
        assigned -= instances.toSet()
        instances.forEach(::add)
    }

    private fun add(instance: InstanceId) {
        val spare = spare(instance)?.takeIf { isSettled(instance) } ?: return
        byPool.getOrPut(spare.listed.pool) { LinkedHashMap() }[instance] = spare
    }

    private fun spare(instance: InstanceId): SpareInstance? {
        val listed = input.listed[instance]
        val report = input.recent(instance)
        val known = listed != null && report != null
        return if (known && isAvailable(listed, report)) SpareInstance(listed, report) else null
    }

    private fun isSettled(instance: InstanceId): Boolean =
        input.observations.getValue(instance).incarnationKnownFor >= input.settings.settleTime

    private fun isAvailable(listed: ListedInstance, report: InstanceReport): Boolean {
        val finishing = report.phase == InstancePhase.DRAINING && report.running + report.queued > 0
        val ruledOut = listed.id in input.recentLoadFailures || listed.id in excluded
        val blocked = finishing || ruledOut || input.leaving(listed.id)
        return !blocked && !input.fleet.isMemberElsewhere(listed.id, report.incarnation, listed.fabricDomain)
    }
}
