package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.fleet.ColdInstances
import boragering.fleet.InstanceList
import boragering.fleet.RateLimit
import boragering.fleet.ServiceProfile
import boragering.fleet.Target

/** The targets that are cold, and the log of those that have become so. Used on the event loop only. */
internal class ColdTargets(settings: GatewaySettings, private val ports: GatewayPorts) {
    private val cold = ColdInstances(settings.coldAllowance)

    /** Number of instances that are cold or were so lately. */
    val instances: Int get() = cold.size

    /** Applies the cold times of the services in [profiles]. */
    fun configure(profiles: Collection<ServiceProfile>) = cold.configure(profiles)

    /** Learns which instances of [list] are cold. */
    fun updateInstances(list: InstanceList) {
        val begun = cold.update(list, ports.loop.now())
        if (begun.isNotEmpty()) {
            ports.log.event("targets-cold", "instances" to begun.take(MAX_LOGGED_INSTANCES), "cold" to cold.size)
        }
    }

    /** Counts the instances of [zone], which was evacuated, as cold. */
    fun onZoneReopened(zone: AvailabilityZone) = cold.onZoneReopened(zone, ports.loop.now())

    /** The limit for the requests to [target]; `null` if it is not cold. */
    fun limit(target: Target): RateLimit? = cold.limit(target, ports.loop.now())

    private companion object {
        const val MAX_LOGGED_INSTANCES = 8
    }
}
