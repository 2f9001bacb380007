package boragering.core.membership

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.Rendezvous
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

/**
 * The addresses (`host:port`), the location and the capacity of a daemon, as registered in the store.
 *
 * @property cores processor cores available to the daemon; zero if unknown.
 */
@Serializable
data class Registration(
    val daemon: DaemonId,
    val peerAddress: String,
    val operatorAddress: String,
    val callerAddress: String,
    val availabilityZone: AvailabilityZone,
    val region: String,
    val cores: Double = 0.0,
) {
    companion object {
        /** Prefix of the store keys of all registrations. */
        const val KEY_PREFIX = "boragering/daemons/"

        /** The store key of a daemon's registration. */
        fun key(daemon: DaemonId): String = "$KEY_PREFIX$daemon"
    }
}

/** The daemons that this daemon considers live. Safe for use by several threads. */
interface Peers {
    /** This daemon. */
    val self: Registration

    /** All live daemons including [self], sorted by id. */
    val live: PersistentList<Registration>

    /** The live daemons to which this one keeps links: a few of them, or all others in a small deployment. */
    val neighbours: PersistentList<Registration> get() = PeerRing.neighbours(self.daemon, live)
}

/** Returns the [count] live daemons that rank highest for [key] in rendezvous hashing; the first one is the owner. */
fun Peers.ranked(key: String, count: Int): List<Registration> =
    Rendezvous.top(key, live, count) { it.daemon.value }

/** Returns the daemon that plans for [domain]. */
fun Peers.planner(domain: FabricDomain): Registration? = ranked("planner/$domain", 1).firstOrNull()

/** Whether this daemon plans for [domain]. */
fun Peers.isPlannerFor(domain: FabricDomain): Boolean = planner(domain)?.daemon == self.daemon

/** Returns the [count] daemons that hold [group] and send requests to it. */
fun Peers.holders(group: GroupId, count: Int): List<Registration> = ranked("holder/$group", count)
