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
    private val heldMessages = ArrayList<StringMapMessage>()
    private var released = true
    private var windowStart = Duration.ZERO
    private var routineLines = 0
    private var notableLines = 0
    private var dropped = 0

    /** Writes what was decided on [request], and the [inputs] that decided it. */
    fun requestEvent(event: String, request: RequestId, priority: LogPriority, inputs: () -> Map<String, Any?>) =
        write(event, priority) { mapOf("request" to request) + inputs() }

    /** Writes what this process believes or does now, and why. */
    fun event(event: String, vararg inputs: Pair<String, Any?>) = write(event, LogPriority.NOTABLE) { inputs.toMap() }

    private fun write(event: String, priority: LogPriority, fields: () -> Map<String, Any?>) {
        if (!withinLimit(priority)) return
        val message = StringMapMessage().with("event", event)
        fields().forEach { (name, value) -> if (value != null) message.with(name, value.toString()) }
        if (released) logger.info(message) else heldMessages += message.with("at", clock.wallMilliseconds())
    }

    /**
     * Keeps lines until [releaseHeld]. The first line loads the logging library, which takes longer than all else that a
     * process does before it can serve.
     */
    fun startHolding() {
        released = false
    }

    /** Loads the logging library; may be called by any thread. */
    fun loadLogger() {
        logger.name
    }

    /** Writes the lines that were kept, each with the time of day at which it was recorded. */
    fun releaseHeld() {
        released = true
        heldMessages.forEach { logger.info(it) }
        heldMessages.clear()
    }

    private fun withinLimit(priority: LogPriority): Boolean {
        val now = clock.monotonic()
        if (now - windowStart >= 1.seconds) startWindow(now)
        val allowed = when (priority) {
            LogPriority.ROUTINE -> ++routineLines <= MAX_ROUTINE_LINES
            LogPriority.NOTABLE -> ++notableLines <= MAX_NOTABLE_LINES
        }
        if (!allowed) dropped += 1
        return allowed
    }

    private fun startWindow(now: Duration) {
        val droppedBefore = dropped
        windowStart = now
        routineLines = 0
        notableLines = 0
        dropped = 0
        if (droppedBefore > 0) {
            logger.info(StringMapMessage().with("event", "lines-dropped").with("lines", droppedBefore.toString()))
        }
    }

    private companion object {
        /** Lines a second. */
        const val MAX_ROUTINE_LINES = 60
        const val MAX_NOTABLE_LINES = 100
    }
}
