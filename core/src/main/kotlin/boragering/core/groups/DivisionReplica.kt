package boragering.core.groups

import boragering.core.FabricDomain
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.util.concurrent.atomic.AtomicReference

/**
 * This daemon's copy of the divisions, updated from the items that it receives. A lower version never replaces a higher
 * one. An item that is not a valid division, or whose key or version differs from its content, is recorded in
 * [timeline] and otherwise ignored.
 */
class DivisionReplica(items: Items, private val timeline: Timeline) : DivisionSource {
    private val divisions = AtomicReference(persistentMapOf<FabricDomain, Division>())

    init {
        items.listen(Division.KEY_PREFIX, ::accept)
    }

    override fun current(): PersistentMap<FabricDomain, Division> = divisions.get()

    private fun accept(item: Item) {
        val division = DivisionDocument.decode(item.content)
        if (division == null || Division.key(division.domain) != item.key || division.version != item.version) {
            timeline.record(TimelineEntry("division-invalid", "item ${item.key} version ${item.version} is invalid"))
            return
        }
        divisions.updateAndGet { known ->
            val newer = known[division.domain]?.let { it.version < division.version } ?: true
            if (newer) known.put(division.domain, division) else known
        }
    }
}
