package boragering.standins

import io.ktor.http.ContentType
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** Streams changes to one client, one JSON object per line, until the client goes or an outage starts. */
internal class StoreWatch(
    private val state: KeyValueState,
    private val control: StoreControl,
    private val exchange: Exchange,
) {
    private val creation = exchange.receive<WatchRequest>().create
    private val range = KeyRange.decode(creation.key, creation.rangeEnd)

    /** Serves the watch; it ends only by aborting the exchange. */
    suspend fun serve() {
        var next = if (creation.startRevision > 0) creation.startRevision else state.revision.value + 1
        control.waitingWatches.incrementAndGet()
        try {
            exchange.stream(ContentType.Application.Json) { send ->
                send(line(WatchResponse(ResponseHeader(state.revision.value), created = true)))
                while (true) {
                    val revision = awaitRevision(next)
                    val events = state.changes(range, next).filter { it.kv.modRevision <= revision }
                    next = revision + 1
                    if (events.isNotEmpty()) send(line(WatchResponse(ResponseHeader(revision), events = events)))
                }
            }
        } finally {
            control.waitingWatches.decrementAndGet()
        }
    }

    private suspend fun awaitRevision(next: Long): Long {
        val outages = control.faults.map { if (it.outage) OUTAGE else 0 }
        var revision: Long? = null
        while (revision == null) {
            revision = withTimeoutOrNull(checkInterval) { merge(state.revision, outages).first { it >= next } }
            if (exchange.clientGone || revision == OUTAGE) exchange.abort("watch ended")
        }
        return revision
    }

    private fun line(response: WatchResponse) = standInJson.encodeToString(StreamResult(response)) + "\n"

    private companion object {
        const val OUTAGE = Long.MAX_VALUE

        /** How soon a watch whose client has gone stops counting. */
        val checkInterval = 200.milliseconds
    }
}
