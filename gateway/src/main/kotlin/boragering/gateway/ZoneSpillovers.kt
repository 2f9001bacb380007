package boragering.gateway

import boragering.fleet.ModelName
import boragering.fleet.ServiceName
import boragering.fleet.Target
import boragering.fleet.ZoneSpillover
import boragering.fleet.ZoneTerms
import kotlin.math.abs
import kotlin.time.Duration

/**
 * For each service and model, the fraction of this gateway's requests that may leave the availability zone, if the
 * [settings] ask for it. Used on the event loop only.
 */
internal class ZoneSpillovers(private val settings: GatewaySettings, private val ports: GatewayPorts) {
    private val own get() = settings.availabilityZone

    private data class Key(val service: ServiceName, val model: ModelName?)

    private class Entry {
        val spillover = ZoneSpillover()
        var loggedFraction = 0.0
    }

    private val entries = object : LinkedHashMap<Key, Entry>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Entry>): Boolean = size > MAX_ENTRIES
    }

    /** What decides whether [routed] leaves the zone; `null` if the fixed cost of leaving applies. */
    fun terms(routed: RoutedRequest): ZoneTerms? {
        val engine = routed.service.engine
            ?.takeIf { settings.zoneSpillover && (routed.model == null || routed.model in it.models) }
        val delays = engine?.delays?.takeIf { it.isSignificant(own, routed.route.targetLatency) }
        return delays?.let { ZoneTerms(it, entry(routed).spillover) }
    }

    /** Counts the send of [routed] to [target] at [now], and logs a changed fraction. */
    fun onSend(routed: RoutedRequest, target: Target, now: Duration) {
        ports.metrics.recordZoneSend(home = target.availabilityZone == own)
        if (terms(routed) == null) return
        val entry = entry(routed)
        val fraction = entry.spillover.fraction(now)
        if (abs(fraction - entry.loggedFraction) < LOGGED_CHANGE) return
        entry.loggedFraction = fraction
        ports.log.event(
            "zone-spillover",
            "service" to routed.service.name,
            "model" to routed.model,
            "fraction" to fraction,
            "usualOccupancy" to entry.spillover.usualOccupancy,
        )
    }

    private fun entry(routed: RoutedRequest): Entry =
        entries.getOrPut(Key(routed.service.name, routed.model)) { Entry() }

    private companion object {
        const val LOGGED_CHANGE = 0.1

        const val MAX_ENTRIES = 64
    }
}
