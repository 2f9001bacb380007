package boragering.core.timeline

import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.core.RequestId

/**
 * Which events to return; an absent part matches everything. [sinceMilliseconds] is wall-clock time; [limit] is the
 * number of events, of which the newest are returned.
 */
data class TimelineQuery(
    val group: GroupId? = null,
    val instance: InstanceId? = null,
    val request: RequestId? = null,
    val sinceMilliseconds: Long? = null,
    val limit: Int = TimelineBuffer.CAPACITY,
) {
    /** Whether [event] is asked for. */
    fun matches(event: TimelineEvent): Boolean = listOf(
        group == null || event.entry.group == group,
        instance == null || event.entry.instance == instance,
        request == null || event.entry.request == request,
        sinceMilliseconds == null || event.stamp.milliseconds >= sinceMilliseconds,
    ).all { it }
}

/** The newest events of one daemon; the oldest gives way when [capacity] is reached. */
class TimelineBuffer(private val clock: HybridClock, private val capacity: Int = CAPACITY) : Timeline {
    private val events = ArrayDeque<TimelineEvent>()

    override fun record(event: TimelineEntry): Unit = synchronized(events) {
        if (events.size == capacity) events.removeFirst()
        events.addLast(TimelineEvent(clock.issue(), event))
    }

    /** The newest matching events in order of their stamps. */
    fun query(query: TimelineQuery): List<TimelineEvent> =
        synchronized(events) { events.filter(query::matches) }.takeLast(maxOf(0, query.limit))

    companion object {
        /** How many events a daemon keeps. */
        const val CAPACITY = 20_000
    }
}

/** One order of the events of many daemons; an event that several of them hold appears once. */
fun mergeTimelines(timelines: Iterable<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().distinct().sortedBy { it.stamp }
