package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Counts what a [DocumentMirror] drops because of its limits, and logs each kind once a second at most. */
internal class DocumentLimitLog(private val ports: GatewayPorts) : DocumentLimitListener {
    private val loggedAt = HashMap<String, Duration>()

    override fun onHistoryCut(start: StoreRevision) {
        ports.metrics.recordDocumentLimit("history")
        atIntervals("document-history-cut") { ports.log.event(it, "start" to start) }
    }

    override fun onSupersededCut() {
        ports.metrics.recordDocumentLimit("superseded")
        atIntervals("superseded-documents-cut") { ports.log.event(it) }
    }

    override fun onContentDropped(document: StoredValue) {
        ports.metrics.recordDocumentLimit("content")
        atIntervals("document-dropped") {
            ports.log.event(it, "key" to document.key, "revision" to document.revision, "bytes" to document.memoryBytes)
        }
    }

    private fun atIntervals(event: String, log: (event: String) -> Unit) {
        val now = ports.loop.now()
        if (loggedAt[event].let { it != null && now - it < MIN_INTERVAL }) return
        loggedAt[event] = now
        log(event)
    }

    private companion object {
        val MIN_INTERVAL = 1.seconds
    }
}
