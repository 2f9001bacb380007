package boragering.core.groups

import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import boragering.core.membership.holders
import boragering.core.membership.planner
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/** A group with the domain and the version of the division that contains it. */
internal data class HeldGroup(val domain: FabricDomain, val divisionVersion: Long, val group: Group) {
    /** Returns the status of the group at [now] for operators. */
    fun status(evidence: GroupEvidence?, now: Duration, evidenceLimit: Duration): GroupStatus =
        GroupStatus(
            domain = domain,
            divisionVersion = divisionVersion,
            group = group,
            whole = evidence != null && evidence.whole && now - evidence.at <= evidenceLimit,
            evidenceAgeMilliseconds = evidence?.let { (now - it.at).inWholeMilliseconds },
            running = evidence?.running ?: 0,
            slots = evidence?.slots ?: 0,
        )
}

/**
 * The groups that this daemon holds, derived from the newest divisions and the live daemons. Candidates are looked up
 * for every request, so the held groups are recomputed only for domains whose division changed, or for all domains when
 * the live daemons changed.
 */
internal class HeldGroups(
    private val peers: Peers,
    private val divisions: DivisionSource,
    private val holdersPerGroup: Int,
) {
    @Volatile
    private var index = HeldGroupIndex(null, null, emptyMap())

    /** The index for the present divisions and daemons. */
    fun current(): HeldGroupIndex {
        val known = index
        val present = divisions.current()
        val live = peers.live
        val sameLive = known.live === live || known.live == live
        if (sameLive && known.divisions === present) return known
        val byDomain = present.mapValues { (domain, division) ->
            known.byDomain[domain]?.takeIf { sameLive && it.division === division } ?: heldGroupsOf(division, live)
        }
        return HeldGroupIndex(present, live, byDomain).also { index = it }
    }

    private fun heldGroupsOf(division: Division, live: List<Registration>): DomainHeldGroups {
        val holdsAll = live.size <= holdersPerGroup
        val held = division.groups.filter { group ->
            holdsAll || peers.holders(group.id, holdersPerGroup).any { it.daemon == peers.self.daemon }
        }
        return DomainHeldGroups(division, held.map { HeldGroup(division.domain, division.version, it) })
    }
}

/** The groups of one domain's division that this daemon holds. */
internal class DomainHeldGroups(val division: Division, val held: List<HeldGroup>)

/** Held groups by entry and by identity. */
internal class HeldGroupIndex(
    val divisions: PersistentMap<FabricDomain, Division>?,
    val live: PersistentList<Registration>?,
    val byDomain: Map<FabricDomain, DomainHeldGroups>,
) {
    /** All held groups. */
    val all: List<HeldGroup> = byDomain.values.flatMap { it.held }

    /** Held active groups of each entry. */
    val activeByEntry: Map<EntryName, List<HeldGroup>> =
        all.filter { it.group.phase == GroupPhase.Active }.groupBy { it.group.entry }

    /** Held groups by identity. */
    val byGroup: Map<GroupId, HeldGroup> = all.associateBy { it.group.id }

    private val domains = byDomain.filterValues { it.held.isNotEmpty() }.keys

    @Volatile
    private var planners: Set<DaemonId>? = null

    /** Returns the planners of the domains with held groups. [peers] must be those that the index was built from. */
    fun planners(peers: Peers): Set<DaemonId> =
        planners ?: domains.mapNotNullTo(HashSet()) { peers.planner(it)?.daemon }.also { planners = it }
}
