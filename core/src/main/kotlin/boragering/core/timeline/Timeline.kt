package boragering.core.timeline

import boragering.core.EntryName
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.RequestId
import kotlinx.serialization.Serializable

/** Records events for the time line. Implementations are bounded and safe for use by several threads. */
fun interface Timeline {
    /** Records that something happened; the implementation adds the stamp. */
    fun record(event: TimelineEntry)
}

/** What a part of the system reports to the time line. */
@Serializable
data class TimelineEntry(
    val kind: String,
    val text: String,
    val group: GroupId? = null,
    val instance: InstanceId? = null,
    val request: RequestId? = null,
    val entry: EntryName? = null,
)

/** A stamped entry of the time line. */
@Serializable
data class TimelineEvent(val stamp: HybridTime, val entry: TimelineEntry)
