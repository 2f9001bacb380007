package boragering.core.groups

import boragering.core.EntryName
import boragering.core.FabricDomain
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the findings of one domain's planner and since when each has lasted. One coroutine updates it, and
 * others may read [current].
 */
internal class FindingTracker {
    private val seen = HashMap<FindingKey, SeenFinding>()
    private var reported = emptySet<FindingKey>()
    private var pending = emptySet<FindingKey>()

    /** The findings of the last update, each with the time at which it first occurred. */
    @Volatile
    var current: PersistentList<HealthFinding> = persistentListOf()
        private set

    /** Replaces the findings by those of a planning step at [now]. */
    fun update(findings: List<HealthFinding>, now: Duration) {
        val keys = findings.associateBy { FindingKey(it) }
        seen.keys.retainAll(keys.keys)
        keys.forEach { (key, finding) -> seen.getOrPut(key) { SeenFinding(now, finding.sinceMilliseconds) } }
        current = keys.map { (key, finding) -> finding.copy(sinceMilliseconds = seen.getValue(key).sinceMilliseconds) }
            .toPersistentList()
    }

    /**
     * Returns the events to record for [relevant] findings that have lasted for [LASTING], and for recorded findings
     * that no longer apply.
     */
    fun pendingEvents(now: Duration, relevant: (FindingKey) -> Boolean): PersistentList<PendingEvent> {
        val lasting = seen.filterValues { now - it.at >= LASTING }.keys.filter { it !in reported && relevant(it) }
        val gone = reported.filter { it !in seen }
        pending = reported - gone.toSet() + lasting
        return (
            lasting.map { PendingEvent(it.entry, "cannot be repaired: ${it.reason}") } +
                gone.map { PendingEvent(it.entry, "no longer the case: ${it.reason}") }
            ).toPersistentList()
    }

    /** Confirms that the events of the last call of [pendingEvents] have been stored. */
    fun markReported() {
        reported = pending
    }

    private class SeenFinding(val at: Duration, val sinceMilliseconds: Long)

    private companion object {
        /** Findings that last for less, such as between the loss of a member and its repair, do not justify a write. */
        val LASTING = 10.seconds
    }
}

/** Identifies a finding: findings with equal keys are the same finding. */
internal data class FindingKey(val domain: FabricDomain?, val entry: EntryName, val reason: String) {
    constructor(finding: HealthFinding) : this(finding.domain, finding.entry, finding.reason)
}
