package boragering.core

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** Lists the targets that can be sent a request now. Safe for use by several threads. */
interface TargetDirectory {
    /**
     * Returns the targets of [entry] that this daemon holds, whose group is active and whole, and which have not
     * indicated that they are leaving. The evidence is evaluated at the time of the call.
     */
    fun candidates(entry: EntryName): PersistentList<Candidate>

    /** Whether a request may still be sent to [candidate]; called directly before sending. */
    fun usable(candidate: Candidate): Boolean

    /** Reports that the target of [group] refused a connection or is leaving, so that it gets no new requests. */
    fun reportLeaving(group: GroupId, fence: Fence)
}

/** A target that can be sent a request; [running], [queued] and [slots] come from a report of age [reportAge]. */
data class Candidate(
    val group: GroupId,
    val fence: Fence,
    val address: String,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val reportAge: Duration,
)
