package boragering.core.timeline

import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.RequestId
import kotlinx.serialization.Serializable

/** Records events. Implementations keep a bounded number of events and are safe for use by several threads. */
fun interface Timeline {
    /** Records [event]; the implementation adds the timestamp. */
    fun record(event: TimelineEntry)
}

/** An event without its timestamp, as a component reports it. */
@Serializable
data class TimelineEntry(
    val kind: String,
    val text: String,
    val group: GroupId? = null,
    val instance: InstanceId? = null,
    val request: RequestId? = null,
    val entry: EntryName? = null,
)

/** A [TimelineEntry] with its timestamp. */
@Serializable
data class TimelineEvent(val stamp: HybridTime, val entry: TimelineEntry)
