package boragering.gateway

import boragering.core.Clock
import boragering.core.RequestId
import boragering.fleet.RateStatement
import boragering.fleet.Target
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides which log lines are dropped first when there are too many. */
enum class LogPriority {
    /** A regular step of a request; dropped first. */
    ROUTINE,

    /** A failure, or a change of the state that the process knows. */
    NOTABLE,
}

/**
 * Writes one structured log line for each decision. Lines above a limit per second are dropped and counted, routine
 * lines first, which bounds the size and the cost of the log under load. Called on the event loop only.
 */
class DecisionLog(private val clock: Clock) {
    private val logger by lazy { LogManager.getLogger("boragering.decisions") }
    private val heldMessages = ArrayList<StringMapMessage>()
    private var released = true
    private var windowStart = Duration.ZERO
    private var routineLines = 0
    private var notableLines = 0
    private var dropped = 0

    /** Logs a decision about [request] with the [inputs] on which it was based. */
    fun requestEvent(event: String, request: RequestId, priority: LogPriority, inputs: () -> Map<String, Any?>) =
        write(event, priority) { message ->
            message.with("request", request.toString())
            inputs().forEach { (name, value) -> message.add(name, value) }
        }

    /** Logs a change of this process's state or an action of it, with the [inputs] that explain it. */
    fun event(event: String, vararg inputs: Pair<String, Any?>) = write(event, LogPriority.NOTABLE) { message ->
        inputs.forEach { (name, value) -> message.add(name, value) }
    }

    /** Logs that the rate of requests that [target] takes has changed as its [statement] says. */
    internal fun rateStatement(target: Target, statement: RateStatement) =
        event("target-rate", "target" to target.head, "group" to target.group, "statement" to statement)

    private inline fun write(event: String, priority: LogPriority, addFields: (StringMapMessage) -> Unit) {
        if (!withinLimit(priority)) return
        val message = StringMapMessage().with("event", event)
        addFields(message)
        if (released) logger.info(message) else heldMessages += message.with("at", clock.wallMilliseconds())
    }

    private fun StringMapMessage.add(name: String, value: Any?) {
        if (value == null) return
        val text = value.toString()
        with(name, if (text.length <= MAX_VALUE_CHARACTERS) text else text.take(MAX_VALUE_CHARACTERS) + ELLIPSIS)
    }

    /**
     * Holds lines in memory until [releaseHeld]. The first line that is written loads the logging library, which takes
     * longer than everything else that a process does before it can serve.
     */
    fun startHolding() {
        released = false
    }

    /** Loads the logging library; may be called on any thread. */
    fun loadLogger() {
        logger.name
    }

    /** Writes the held lines, each with the time of day at which it was recorded. */
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
        /** Limits per second. */
        const val MAX_ROUTINE_LINES = 60
        const val MAX_NOTABLE_LINES = 100

        /** Longest value of a field; the writer's queue holds a number of lines, whatever their length. */
        const val MAX_VALUE_CHARACTERS = 2_000
        const val ELLIPSIS = "…"
    }
}
