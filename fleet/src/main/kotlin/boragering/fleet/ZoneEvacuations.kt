package boragering.fleet

import boragering.core.AvailabilityZone
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * The availability zones that operators have evacuated. No request and no order goes to an instance in an evacuated
 * zone. All times are those of the monotonic clock.
 *
 * @property since the evacuated zones, with the time at which this process learned of each.
 */
data class ZoneEvacuations(
    val since: PersistentMap<AvailabilityZone, Duration> = persistentMapOf(),
    private val keptUntil: PersistentMap<AvailabilityZone, Duration> = persistentMapOf(),
) {
    /** The evacuated zones. */
    val zones: Set<AvailabilityZone> get() = since.keys

    /** Whether a zone counts as evacuated only until a deadline, because its evacuation may be written again. */
    val keepsRemoved: Boolean get() = keptUntil.isNotEmpty()

    /** Returns these evacuations with that of [zone], which became known at [now]. */
    fun evacuate(zone: AvailabilityZone, now: Duration): ZoneEvacuations =
        ZoneEvacuations(
            since = if (zone in since) since else since.put(zone, now),
            keptUntil = keptUntil.remove(zone),
        )

    /**
     * Returns these evacuations without that of [zone], whose end became known at [now]. If [deadline] is set, the zone
     * still counts as evacuated until then, unless its evacuation is written again before.
     */
    fun reopen(zone: AvailabilityZone, now: Duration, deadline: Duration? = null): ZoneEvacuations = when {
        zone !in since -> this
        deadline != null && deadline > now -> copy(keptUntil = keptUntil.put(zone, deadline))
        else -> ZoneEvacuations(since.remove(zone), keptUntil.remove(zone))
    }

    /** Returns these evacuations without those whose deadline has passed by [now]. */
    fun expire(now: Duration): ZoneEvacuations =
        keptUntil.filterValues { it <= now }.keys.fold(this) { remaining, zone -> remaining.reopen(zone, now) }
}
