package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import kotlin.time.Duration

/** Whether this gateway plans; asked on the event loop. */
interface PlannerStatus {
    /** Whether it certainly plans now. */
    val planning: Boolean

    /** Whether it plans, or may. */
    val mayPlan: Boolean
}

/** What a [DocumentReplica] uses besides what its gateway does; [equivalence] tells which changes matter. */
class ReplicaPorts(
    val store: DocumentFeed,
    val peers: Peers,
    val link: PeerLink,
    val clock: Clock,
    val equivalence: DocumentEquivalence,
)

/**
 * A gateway's copy of the store's documents, and its part in how gateways keep such copies together: a few read the
 * store and pass the changes on, and while the store answers nobody they tell each other what they know. Used on the
 * event loop only.
 */
class DocumentReplica(gateway: GatewayPorts, ports: ReplicaPorts, private val planner: PlannerStatus) {
    private val loop = gateway.loop
    private val peers = ports.peers
    private val sourceSelector = DocumentSourceSelector(peers) { planner.mayPlan }
    private val feed = PeerChangeFeed(ports.link, loop)

    /** The documents. */
    val mirror = DocumentMirror(ports.equivalence)
    private val peerSync =
        PeerDocumentSync(mirror, peers, ports.link, gateway.random, gateway.log, FollowerStoreStatus())

    /** How the documents come here. */
    val follower: DocumentFollower = DocumentFollower(
        FollowerFeeds(ports.store, feed, sourceSelector),
        mirror,
        gateway,
        ports.clock,
        ::readInterval,
        // The planner has to know whether the store answers anybody.
        askPeer = { peerSync.requestChanges(if (planner.mayPlan) StoreOutageDetector.PEERS_ASKED else 1) },
    )
    private val relay = DocumentRelay(mirror, ports.link, loop) { follower.staleness }

    /** Whether the store answers neither this gateway nor others. */
    val storeIsDown: Boolean get() = peerSync.storeIsDown(loop.now())

    /** Follows until cancelled. */
    suspend fun run() = follower.run()

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        feed.handle(from, message)
        relay.handle(from, message)
        peerSync.handle(from, message, loop.now())
    }

    private fun readInterval(): Duration =
        ReadInterval.of(
            peers.live.size,
            planner.planning,
            reader = sourceSelector.relayEnabled && sourceSelector.readsStore,
        )

    private inner class FollowerStoreStatus : StoreStatus {
        override val storeReachable: Boolean get() = follower.storeReachable

        override fun onReachableElsewhere() = follower.onReachableElsewhere()
    }
}
