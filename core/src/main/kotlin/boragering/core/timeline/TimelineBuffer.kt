package boragering.core.timeline

import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.RequestId

/**
 * Selects events; a property that is `null` matches all events. [sinceMilliseconds] is wall-clock time since the Unix
 * epoch, and [limit] is the maximum number of events, of which the newest are returned.
 */
data class TimelineQuery(
    val group: GroupId? = null,
    val instance: InstanceId? = null,
    val request: RequestId? = null,
    val sinceMilliseconds: Long? = null,
    val limit: Int = TimelineBuffer.CAPACITY,
) {
    /** Whether [event] matches all properties other than [limit]. */
    fun matches(event: TimelineEvent): Boolean = listOf(
        group == null || event.entry.group == group,
        instance == null || event.entry.instance == instance,
        request == null || event.entry.request == request,
        sinceMilliseconds == null || event.stamp.milliseconds >= sinceMilliseconds,
    ).all { it }
}

/**
 * Keeps the newest events of one daemon. The oldest events are removed when [capacity] is reached, or when all texts
 * together exceed [MAXIMUM_CHARACTERS]; a text of more than [MAXIMUM_TEXT_CHARACTERS] is cut.
 */
class TimelineBuffer(private val clock: HybridClock, private val capacity: Int = CAPACITY) : Timeline {
    private val events = ArrayDeque<TimelineEvent>()
    private var characters = 0

    override fun record(event: TimelineEntry): Unit = synchronized(events) {
        val recorded = event.copy(text = event.text.take(MAXIMUM_TEXT_CHARACTERS))
        characters += recorded.text.length
        while (events.size >= capacity || characters > MAXIMUM_CHARACTERS) {
            characters -= events.removeFirst().entry.text.length
        }
        events.addLast(TimelineEvent(clock.issue(), recorded))
    }

    /** Returns the newest matching events in the order of their timestamps. */
    fun query(query: TimelineQuery): List<TimelineEvent> =
        synchronized(events) { events.filter(query::matches) }.takeLast(maxOf(0, query.limit))

    companion object {
        /** The default number of events that a daemon keeps. */
        const val CAPACITY = 20_000

        /** Limit for the text of an event, which can quote what a target sent. */
        const val MAXIMUM_TEXT_CHARACTERS = 2_000

        /** Limit for the texts of all events of a daemon. */
        const val MAXIMUM_CHARACTERS = 8 * 1024 * 1024
    }
}

/** Merges the events of many daemons in timestamp order; an event that several daemons hold appears once. */
fun mergeTimelines(timelines: Iterable<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().distinct().sortedBy { it.stamp }
