package boragering.scenarios

import boragering.standins.DirectionFaults
import boragering.standins.LinkFaults
import boragering.standins.LinkRequest
import boragering.standins.LinkState
import boragering.standins.LiveInstance
import boragering.standins.LiveInstances
import boragering.standins.LiveListFaults
import boragering.standins.RecordedWrite
import boragering.standins.StoreCounters
import boragering.standins.StoreFaults
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** The key-value service. */
class StoreHandle internal constructor(private val client: ControlClient, private val standIn: StandInProcess) {
    /** `host:port`. */
    val address: String get() = standIn.addresses.single()

    /** The process. */
    val process: ChildProcess get() = standIn.process

    /** Replaces the faults. */
    suspend fun faults(faults: StoreFaults) {
        client.put(address, "/control/faults", faults)
    }

    /** Calls and refusals so far. */
    suspend fun counters(): StoreCounters = client.read(address, "/control/counters")

    /** Every write in order. */
    suspend fun record(): List<RecordedWrite> = client.read(address, "/control/record")
}

/** The live list. */
class LiveListHandle internal constructor(private val client: ControlClient, private val standIn: StandInProcess) {
    private val lock = Mutex()
    private var instances = emptyList<LiveInstance>()

    /** `host:port`. */
    val address: String get() = standIn.addresses.single()

    /** The process. */
    val process: ChildProcess get() = standIn.process

    /** Replaces the faults. */
    suspend fun faults(faults: LiveListFaults) {
        client.put(address, "/control/faults", faults)
    }

    /** Changes the list; readers see the change when the list's lag has passed. */
    suspend fun change(transform: (List<LiveInstance>) -> List<LiveInstance>) = lock.withLock {
        val next = transform(instances)
        client.put(address, "/control/instances", LiveInstances(next))
        instances = next
    }

    /** Announces that the platform will stop [instance]. */
    suspend fun leave(instance: InstanceHandle) =
        change { all -> all.map { if (it.id == instance.id) it.copy(state = "leaving") else it } }

    /** Takes [instance] off the list. */
    suspend fun remove(instance: InstanceHandle) = change { all -> all.filterNot { it.id == instance.id } }

    /** Puts [instance] on the list as live, whatever it was before. */
    suspend fun add(instance: InstanceHandle) = change { all ->
        val pool = instance.pool
        all.filterNot { it.id == instance.id } +
            LiveInstance(instance.id, instance.address, pool.pool, pool.domain, pool.availabilityZone, "live")
    }
}

/** The proxy. */
class ProxyHandle internal constructor(private val client: ControlClient, private val standIn: StandInProcess) {
    private val address get() = standIn.addresses.single()

    /** Adds a link to [target], a `host:port`. */
    suspend fun link(target: String): LinkHandle {
        val response = client.success(client.post(address, "/control/links", LinkRequest(target)))
        return LinkHandle(client, address, client.decode(response))
    }
}

/** One link of the proxy. */
class LinkHandle internal constructor(
    private val client: ControlClient,
    private val control: String,
    private val state: LinkState,
) {
    /** `host:port` that stands for the target. */
    val address: String = "127.0.0.1:${state.port}"

    /** Replaces the faults. */
    suspend fun faults(faults: LinkFaults) {
        client.put(control, "/control/links/${state.index}", faults)
    }

    /** Closes the link's connections and refuses new ones. */
    suspend fun cut() = faults(LinkFaults(cut = true))

    /** Holds all bytes in both directions, without closing connections. */
    suspend fun stall() = faults(LinkFaults(false, DirectionFaults(stalled = true), DirectionFaults(stalled = true)))

    /** Removes all faults. */
    suspend fun heal() = faults(LinkFaults())
}
