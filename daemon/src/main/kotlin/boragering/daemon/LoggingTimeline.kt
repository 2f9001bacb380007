package boragering.daemon

import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.LogManager

/**
 * Records each event in [timeline] and also writes it to the log, with its request, group, instance and entry as
 * fields.
 */
internal class LoggingTimeline(private val timeline: Timeline) : Timeline {
    private val logger = LogManager.getLogger("boragering.timeline")

    override fun record(event: TimelineEntry) {
        timeline.record(event)
        CloseableThreadContext.putAll(fields(event)).use { logger.info("{}: {}", event.kind, event.text) }
    }

    private fun fields(event: TimelineEntry): Map<String, String> =
        buildMap {
            event.request?.let { put("request", it.value) }
            event.group?.let { put("group", it.value) }
            event.instance?.let { put("instance", it.value) }
            event.entry?.let { put("entry", it.value) }
        }
}
