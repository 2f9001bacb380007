package boragering.core.groups

import boragering.core.Fence
import boragering.core.InstancePhase
import boragering.core.Order
import boragering.core.OrderMember

/**
 * Returns the orders that make the domain's engines follow [division]. A member of an active group is ordered to load
 * when its recent report names another group or fencing number, or shows that it is neither loading nor ready. An
 * instance in no group whose recent report names one is released, unless it is already draining or a member in another
 * domain. A release carries the division's version as its fencing number, so that an engine that enforces fencing
 * rejects older orders afterwards.
 */
internal fun PlanningInput.ordersFor(division: Division): List<InstanceOrder> {
    val members = division.groups.flatMapTo(HashSet()) { group -> group.members.map { it.instance } }
    val loads = division.groups
        .filter { it.phase == GroupPhase.Active && it.model != null }
        .flatMap { group -> group.members.filter { needsLoad(group, it) }.map { loadOrder(group, it) } }
    val releases = listed.values
        .filter { it.id !in members }
        .mapNotNull { instance -> releaseOrder(instance, division) }
    return loads + releases
}

private fun PlanningInput.needsLoad(group: Group, member: Member): Boolean {
    val report = recent(member.instance)?.takeIf { it.incarnation == member.incarnation } ?: return false
    val inGroup = report.group == group.id && report.fence == group.fence
    return !inGroup || (report.phase != InstancePhase.LOADING && report.phase != InstancePhase.READY)
}

private fun loadOrder(group: Group, member: Member): InstanceOrder {
    val load = Order.Load(
        group = group.id,
        fence = group.fence,
        model = requireNotNull(group.model) { "group ${group.id} has no model" },
        modelVersion = requireNotNull(group.modelVersion) { "group ${group.id} has no model version" },
        members = group.members.map { OrderMember(it.instance, it.address) },
        leader = group.leader,
    )
    return InstanceOrder(member.instance, member.address, load)
}

private fun PlanningInput.releaseOrder(instance: ListedInstance, division: Division): InstanceOrder? {
    val report = recent(instance.id)
        ?.takeIf { it.phase != InstancePhase.DRAINING }
        ?.takeUnless { fleet.isMemberElsewhere(instance.id, it.incarnation, division.domain) }
    return report?.group?.let { group ->
        InstanceOrder(instance.id, instance.address, Order.Release(group, Fence(division.version)))
    }
}
