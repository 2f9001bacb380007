package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * Updates the targets incrementally as instances change. The list has hundreds of instances and changes constantly, so
 * only the groups of changed instances are evaluated again. Not thread-safe.
 */
class TargetIndex {
    private data class ServiceGroup(val service: ServiceName, val group: GroupEpoch)

    private var known: PersistentMap<InstanceId, Instance> = persistentMapOf()
    private var profiles = emptyMap<ServiceName, ServiceProfile>()
    private val members = HashMap<ServiceGroup, HashMap<InstanceId, Instance>>()
    private val groups = HashMap<ServiceGroup, Target>()
    private val plain = HashMap<InstanceId, Target>()

    /**
     * Returns the targets among the instances of [list], and withholds those with a member in one of the [evacuated]
     * zones. Instances of services without a profile are ignored.
     */
    fun update(
        list: InstanceList,
        profiles: Map<ServiceName, ServiceProfile>,
        evacuated: Set<AvailabilityZone> = emptySet(),
    ): TargetTable {
        if (profiles != this.profiles) reset(profiles)
        val affected = HashSet<ServiceGroup>()
        list.instances.forEach { (id, instance) ->
            val previous = known[id]
            if (previous !== instance) {
                previous?.let { remove(it, affected) }
                add(instance, affected)
            }
        }
        known.values.filter { it.id !in list.instances }.forEach { remove(it, affected) }
        known = list.instances
        affected.forEach(::refreshGroupTarget)
        return TargetTable.of(groups.values + plain.values, evacuated)
    }

    private fun reset(changed: Map<ServiceName, ServiceProfile>) {
        profiles = changed
        known = persistentMapOf()
        members.clear()
        groups.clear()
        plain.clear()
    }

    private fun add(instance: Instance, affected: MutableSet<ServiceGroup>) {
        val profile = profiles[instance.service] ?: return
        val group = instance.membership?.group
        when {
            profile.grouped && group != null -> {
                val key = ServiceGroup(instance.service, group)
                members.getOrPut(key) { HashMap() }[instance.id] = instance
                affected += key
            }
            !profile.grouped && instance.state == InstanceState.SERVING -> plain[instance.id] = target(instance)
        }
    }

    private fun remove(instance: Instance, affected: MutableSet<ServiceGroup>) {
        plain.remove(instance.id)
        val key = ServiceGroup(instance.service, instance.membership?.group ?: return)
        val remaining = members[key] ?: return
        remaining.remove(instance.id)
        if (remaining.isEmpty()) members.remove(key)
        affected += key
    }

    private fun refreshGroupTarget(key: ServiceGroup) {
        val engine = profiles[key.service]?.engine
        val view = members[key]?.let { GroupView.of(it.values).single() }
        val target = engine?.let { view?.target(it) }
        if (target == null) groups.remove(key) else groups[key] = target
    }

    private fun target(instance: Instance): Target = Target(
        service = instance.service,
        address = instance.address,
        availabilityZone = instance.availabilityZone,
        slots = instance.slots,
        members = persistentListOf(instance.start),
    )

    private val ServiceProfile.grouped: Boolean get() = engine?.models?.isNotEmpty() == true
}
