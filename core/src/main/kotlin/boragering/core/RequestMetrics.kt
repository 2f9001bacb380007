package boragering.core

import kotlin.time.Duration

/** Receives what happens to requests, for counters. Implementations do not block and are safe for several threads. */
interface RequestMetrics {
    /** A request got a slot on a target after it was queued for [waited]. */
    fun admitted(entry: EntryName, waited: Duration) = Unit

    /** A request was sent to a target. */
    fun dispatched(entry: EntryName, group: GroupId) = Unit

    /** A request is sent once more after a failed attempt. */
    fun retried(entry: EntryName) = Unit

    /** The first part of an answer arrived [after] the request did. */
    fun firstPart(entry: EntryName, after: Duration) = Unit

    /** A part with another request's identity was dropped. */
    fun foreignPart(entry: EntryName, group: GroupId) = Unit

    /** A request ended [after] it arrived; [problem] is `null` when the caller received the whole answer. */
    fun ended(entry: EntryName, problem: Problem?, after: Duration) = Unit

    /** A target was ejected temporarily. */
    fun ejected(entry: EntryName, group: GroupId) = Unit

    /** [claims] operations on claims shared one write. */
    fun claimsWritten(claims: Int) = Unit

    /** Ignores everything. */
    data object None : RequestMetrics
}
