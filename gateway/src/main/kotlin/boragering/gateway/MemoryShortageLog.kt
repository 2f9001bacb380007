package boragering.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Logs when the memory for bodies begins and ceases to be short, once a second at most. */
internal class MemoryShortageLog(private val ports: GatewayPorts) : MemoryBudget.Listener {
    private var loggedAt: Duration? = null
    private var endUnlogged = false

    override fun onShortage(short: Boolean) {
        if (short) onBegin() else onEnd()
    }

    private fun onBegin() {
        val now = ports.loop.now()
        if (loggedAt.let { it != null && now - it < MIN_INTERVAL }) return
        loggedAt = now
        endUnlogged = true
        ports.log.event("body-memory-short")
    }

    private fun onEnd() {
        if (!endUnlogged) return
        endUnlogged = false
        ports.log.event("body-memory-available", "after" to loggedAt?.let { ports.loop.now() - it })
    }

    private companion object {
        val MIN_INTERVAL = 1.seconds
    }
}
