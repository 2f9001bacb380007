package boragering.scenarios

import boragering.core.InstanceId
import boragering.core.groups.Group
import boragering.core.groups.GroupStatus

/** The groups of the entry called [entry] as [daemons] see them. */
class GroupView(private val daemons: List<DaemonHandle>, private val entry: String) {
    /** Waits until every daemon counts [count] groups as whole, none of them with the instance [without]. */
    suspend fun awaitWhole(count: Int, without: InstanceId? = null): List<GroupStatus> =
        await("$count whole groups of $entry on every daemon") {
            val whole = daemons.map { daemon -> groups(daemon).filter { it.whole } }
            val members = whole.flatten().flatMap { it.group.members }.map { it.instance }
            whole.first().takeIf { whole.all { it.size == count } && without !in members }
        }

    /** Waits until no daemon counts [group], with its fencing number, as whole. */
    suspend fun awaitNotWhole(group: Group) =
        awaitTrue("no daemon counts group ${group.id} with fence ${group.fence} as whole") {
            daemons.flatMap { groups(it) }.none { it.whole && it.group.id == group.id && it.group.fence == group.fence }
        }

    /** The groups of the entry as one daemon sees them. */
    suspend fun groups(daemon: DaemonHandle): List<GroupStatus> =
        daemon.operators.groups().groups.filter { it.group.entry.value == entry }

    /** One line about a group. */
    fun describe(status: GroupStatus): String = with(status.group) {
        val names = members.joinToString { it.instance.value }
        "group $id in ${status.domain}, fence $fence, leader $leader, members $names"
    }
}
