package boragering.core

import kotlin.time.Duration

/** Receives request events for counters. Implementations do not block and are safe for use by several threads. */
interface RequestMetrics {
    /** A request got a slot on a target after it had been queued for [waited]. */
    fun admitted(entry: EntryName, waited: Duration) = Unit

    /** A request was sent to a target. */
    fun dispatched(entry: EntryName, group: GroupId) = Unit

    /** A request is retried after a failed attempt. */
    fun retried(entry: EntryName) = Unit

    /** The first part of an answer arrived; [after] is the time since the request arrived. */
    fun firstPart(entry: EntryName, after: Duration) = Unit

    /** A part of an answer was dropped because it has the identity of another request. */
    fun foreignPart(entry: EntryName, group: GroupId) = Unit

    /** A request ended [after] it arrived; [problem] is `null` if the caller received the whole answer. */
    fun ended(entry: EntryName, problem: Problem?, after: Duration) = Unit

    /** A target was ejected temporarily. */
    fun ejected(entry: EntryName, group: GroupId) = Unit

    /** One write contained [claims] operations on claims. */
    fun claimsWritten(claims: Int) = Unit

    /** Discards all events. */
    data object None : RequestMetrics
}
