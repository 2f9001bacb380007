package boragering.core.membership

import boragering.core.AvailabilityZone
import boragering.core.DaemonId
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.Rendezvous
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

/**
 * How a daemon can be reached; each address is `host:port`.
 *
 * @property cores processor cores that its machine gives it; zero when that is not known.
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

/** The daemons that this daemon holds to be live. Safe for use by several threads. */
interface Peers {
    /** This daemon. */
    val self: Registration

    /** All live daemons including [self], in order of their ids. */
    val live: PersistentList<Registration>

    /** The few live daemons to which this one keeps links; all others in a small deployment. */
    val neighbours: PersistentList<Registration> get() = PeerRing.neighbours(self.daemon, live)
}

/** The [count] live daemons that rank highest for [key]; the first one is the owner. */
fun Peers.ranked(key: String, count: Int): List<Registration> =
    Rendezvous.top(key, live, count) { it.daemon.value }

/** The daemon that plans for [domain]. */
fun Peers.planner(domain: FabricDomain): Registration? = ranked("planner/$domain", 1).firstOrNull()

/** Whether this daemon plans for [domain]. */
fun Peers.isPlannerFor(domain: FabricDomain): Boolean = planner(domain)?.daemon == self.daemon

/** The daemons that hold [group] and send requests to it. */
fun Peers.holders(group: GroupId, count: Int): List<Registration> = ranked("holder/$group", count)
