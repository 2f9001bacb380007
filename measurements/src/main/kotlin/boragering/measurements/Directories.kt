package boragering.measurements

import boragering.core.Candidate
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.GroupSummary
import boragering.core.TargetDirectory
import boragering.core.groups.Division
import boragering.core.groups.DivisionSource
import boragering.core.groups.EchoTracker
import boragering.core.groups.GroupHealth
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration

/** Targets with [slots] slots each. */
class FixedDirectory(count: Int, slots: Int) : TargetDirectory {
    private val candidates = List(count) {
        Candidate(GroupId("group-$it"), Fence(1), "10.12.0.$it:8000", 0, 0, slots, Duration.ZERO)
    }.toPersistentList()

    override fun candidates(entry: EntryName): PersistentList<Candidate> = candidates

    override fun usable(candidate: Candidate): Boolean = true

    override fun reportLeaving(group: GroupId, fence: Fence) = Unit
}

/** Health of the groups of [divisions] that a daemon of [peers] holds. */
class HealthFixture(private val divisions: Map<FabricDomain, Division>, peers: Peers) {
    private val present = divisions.toPersistentMap()
    private val echoes = EchoTracker(Fixtures.clock)

    /** The health. */
    val health = GroupHealth(peers, DivisionSource { present }, echoes, Fixtures.clock)

    /** States that all groups are whole now. */
    fun refresh(): HealthFixture {
        health.accept(PLANNER, PeerMessage.GroupSummaries(echoes.next().number, summaries()))
        return this
    }

    private fun summaries(): List<GroupSummary> = divisions.flatMap { (domain, division) ->
        division.groups.map { group ->
            GroupSummary(
                domain,
                group.id,
                group.fence,
                whole = true,
                leaving = false,
                running = 1,
                queued = 0,
                slots = 1_000,
                ageMilliseconds = 0,
            )
        }
    }

    private companion object {
        val PLANNER = DaemonId("planner")
    }
}
