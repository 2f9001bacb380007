package boragering.gateway

import boragering.core.Clock
import boragering.core.RequestId
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How much a line of the log matters when there are too many. */
enum class LogPriority {
    /** An expected step of a request. */
    ROUTINE,

    /** A failure, or a change of what the process believes. */
    NOTABLE,
}

/**
 * Writes one structured line for each decision. Lines beyond a number a second are dropped and counted, routine ones
 * first, so that the log neither grows nor costs without bound under load. Called on the event loop only.
 */
class DecisionLog(private val clock: Clock) {
    private val logger by lazy { LogManager.getLogger("boragering.decisions") }
    private val early = ArrayList<StringMapMessage>()
    private var open = true
    private var second = Duration.ZERO
    private var routine = 0
    private var notable = 0
    private var dropped = 0

    /** Writes what was decided on [request], and the [inputs] that decided it. */
    fun request(event: String, request: RequestId, kind: LogPriority, inputs: () -> Map<String, Any?>) =
        write(event, kind) { mapOf("request" to request) + inputs() }

    /** Writes what this process believes or does now, and why. */
    fun state(event: String, vararg inputs: Pair<String, Any?>) = write(event, LogPriority.NOTABLE) { inputs.toMap() }

    private fun write(event: String, kind: LogPriority, fields: () -> Map<String, Any?>) {
        if (!permitted(kind)) return
        val message = StringMapMessage().with("event", event)
        fields().forEach { (name, value) -> if (value != null) message.with(name, value.toString()) }
        if (open) logger.info(message) else early += message.with("at", clock.wallMilliseconds())
    }

    /**
     * Keeps lines until [release]. The first line loads the logging library, which takes longer than all else that a
     * process does before it can serve.
     */
    fun hold() {
        open = false
    }

    /** Loads the logging library; may be called by any thread. */
    fun load() {
        logger.name
    }

    /** Writes the lines that were kept, each with the time of day at which it was recorded. */
    fun release() {
        open = true
        early.forEach { logger.info(it) }
        early.clear()
    }

    private fun permitted(kind: LogPriority): Boolean {
        val now = clock.monotonic()
        if (now - second >= 1.seconds) startSecond(now)
        val allowed = when (kind) {
            LogPriority.ROUTINE -> ++routine <= ROUTINE_LINES
            LogPriority.NOTABLE -> ++notable <= NOTABLE_LINES
        }
        if (!allowed) dropped += 1
        return allowed
    }

    private fun startSecond(now: Duration) {
        val lost = dropped
        second = now
        routine = 0
        notable = 0
        dropped = 0
        if (lost > 0) logger.info(StringMapMessage().with("event", "lines-dropped").with("lines", lost.toString()))
    }

    private companion object {
        /** Lines a second. */
        const val ROUTINE_LINES = 60
        const val NOTABLE_LINES = 100
    }
}
