package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.fleet.Target
import boragering.fleet.TargetTable
import boragering.fleet.ZoneEvacuations
import kotlin.time.Duration

/**
 * Logs when availability zones are evacuated and reopened, with what this gateway stops or begins to send to. Used on
 * the event loop only.
 */
internal class EvacuationLog(private val log: DecisionLog) {
    private var reported = ZoneEvacuations()

    /** Logs at [now] how [evacuations] differ from the last ones; [targets] are the targets that result. */
    fun report(evacuations: ZoneEvacuations, targets: TargetTable, now: Duration) {
        (evacuations.zones - reported.zones).forEach { zone ->
            log(zone, "zone-evacuated", targets.withheld, "since" to now - evacuations.since.getValue(zone))
        }
        (reported.zones - evacuations.zones).forEach { zone ->
            log(zone, "zone-reopened", targets.all, "evacuatedFor" to now - reported.since.getValue(zone))
        }
        reported = evacuations
    }

    private fun log(zone: AvailabilityZone, event: String, targets: List<Target>, time: Pair<String, Duration>) {
        val affected = targets.filter { zone in it.memberZones }
        log.event(event, "zone" to zone, "targets" to affected.size, "slots" to affected.sumOf { it.slots }, time)
    }
}
