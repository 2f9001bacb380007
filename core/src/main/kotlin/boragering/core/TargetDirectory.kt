package boragering.core

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** The targets that may get a request now. Safe for use by several threads. */
interface TargetDirectory {
    /**
     * The targets of [entry] that this daemon holds, whose group is active and whole, and of which there is no sign of
     * leaving. The evidence is evaluated at the time of the call.
     */
    fun candidates(entry: EntryName): PersistentList<Candidate>

    /** Whether [candidate] may still get a request; called directly before sending. */
    fun usable(candidate: Candidate): Boolean

    /** States that the target of [group] refused a connection or said that it is leaving: it gets no new work. */
    fun reportLeaving(group: GroupId, fence: Fence)
}

/** A target that may get a request. [running], [queued] and [slots] are as reported [reportAge] ago. */
data class Candidate(
    val group: GroupId,
    val fence: Fence,
    val address: String,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val reportAge: Duration,
)
