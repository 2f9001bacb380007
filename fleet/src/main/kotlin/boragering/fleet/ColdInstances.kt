package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * The instances that are cold, as far as this gateway knows, and the requests that they may get.
 *
 * Prevents all gateways from sending at once to instances that look idle because they have just started or come back.
 * What an instance states holds for as long as it states, and for the service's cold time at most, so that the
 * knowledge expires also while no entries arrive. Instances of a service without a cold time are never cold. Times are
 * of the monotonic clock. Not thread-safe.
 */
class ColdInstances(private val allowance: ColdAllowance) {
    private class ColdInstance(val until: Duration, val limit: RateLimit)

    private val cold = HashMap<InstanceStart, ColdInstance>()
    private var known: PersistentMap<InstanceId, Instance> = persistentMapOf()
    private var limits: Map<ServiceName, Pair<ColdStartProfile, RateLimit>> = emptyMap()
    private var complete = false

    /** Number of instances that are cold or were so lately. */
    val size: Int get() = cold.size

    /** Takes over the cold times of the services in [profiles]. */
    fun configure(profiles: Collection<ServiceProfile>) {
        val changed = profiles.mapNotNull { profile ->
            profile.coldStart?.let { profile.name to (it to allowance.limit(it.requestsPerSecond)) }
        }.toMap()
        if (changed == limits) return
        limits = changed
        known = persistentMapOf()
        complete = false
    }

    /**
     * Learns at [now] what the instances of [list] state, and returns those that have become cold. Once a first list
     * has been seen, an instance that is new and states nothing counts as cold.
     */
    fun update(list: InstanceList, now: Duration): List<InstanceStart> {
        if (limits.isEmpty()) return emptyList()
        cold.values.removeIf { it.until <= now }
        val changed = list.instances.values.filter { known[it.id] !== it }
        val begun = changed.filter { learn(it, now) }.map { it.start }
        known = list.instances
        complete = true
        return begun
    }

    /** Counts all instances of [zone] as cold from [now] on, because they get requests again after an evacuation. */
    fun onZoneReopened(zone: AvailabilityZone, now: Duration) {
        known.values.filter { it.availabilityZone == zone }.forEach { instance ->
            val (profile, limit) = limits[instance.service] ?: return@forEach
            cold[instance.start] = ColdInstance(now + profile.duration, limit)
        }
    }

    /** The limit for the requests to [target] at [now], of which some member is cold; `null` if none is. */
    fun limit(target: Target, now: Duration): RateLimit? {
        if (cold.isEmpty()) return null
        return target.members.firstNotNullOfOrNull { member -> cold[member]?.takeIf { it.until > now }?.limit }
    }

    /** Returns whether [instance] has become cold. */
    private fun learn(instance: Instance, now: Duration): Boolean {
        val (profile, limit) = limits[instance.service]?.takeIf { states(instance) } ?: return false
        val wasCold = cold.remove(instance.start) != null
        val remaining = remaining(instance, profile).coerceAtMost(profile.duration)
        if (remaining > Duration.ZERO) cold[instance.start] = ColdInstance(now + remaining, limit)
        return remaining > Duration.ZERO && !wasCold
    }

    /** Whether [instance] states something new. An entry that has changed otherwise repeats the earlier statement. */
    private fun states(instance: Instance): Boolean {
        val before = known[instance.id]
        return before?.start != instance.start || before.coldRemaining != instance.coldRemaining
    }

    private fun remaining(instance: Instance, profile: ColdStartProfile): Duration {
        val justStarted = complete && known[instance.id]?.start != instance.start
        return instance.coldRemaining ?: if (justStarted) profile.duration else Duration.ZERO
    }
}
