package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import kotlin.time.Duration

/** Tells whether this gateway is the planner. Called on the event loop. */
interface PlannerStatus {
    /** Whether this gateway certainly is the planner now. */
    val planning: Boolean

    /** Whether this gateway is the planner or may be. */
    val mayPlan: Boolean
}

/** Dependencies of a [DocumentReplica] besides [GatewayPorts]. */
class ReplicaPorts(
    val store: DocumentFeed,
    val peers: Peers,
    val link: PeerLink,
    val clock: Clock,
    val rules: DocumentRules,
)

/**
 * A gateway's replica of the store's documents, kept up to date together with other gateways: a few gateways read the
 * store and relay the changes, and while the store answers no gateway, they exchange the documents that they have. Used
 * on the event loop only.
 */
class DocumentReplica(gateway: GatewayPorts, ports: ReplicaPorts, private val planner: PlannerStatus) {
    private val loop = gateway.loop
    private val peers = ports.peers
    private val sourceSelector = DocumentSourceSelector(peers) { planner.mayPlan }
    private val feed = PeerChangeFeed(ports.link, loop)

    /** The replicated documents. */
    val mirror = DocumentMirror(loop::now, ports.rules, DocumentLimits(), DocumentLimitLog(gateway))
    private val peerSync =
        PeerDocumentSync(mirror, peers, ports.link, gateway.random, gateway.log, FollowerStoreStatus())

    /** Keeps [mirror] up to date. */
    val follower: DocumentFollower = DocumentFollower(
        FollowerFeeds(ports.store, feed, sourceSelector),
        mirror,
        gateway,
        ports.clock,
        ::readInterval,
        // The planner has to find out whether the store answers any gateway.
        askPeers = { peerSync.requestChanges(if (planner.mayPlan) StoreOutageDetector.PEERS_ASKED else PEERS_ASKED) },
    )
    private val relay = DocumentRelay(mirror, ports.link, loop) { follower.freshness.staleness }

    /** Whether the store answers neither this gateway nor any other. */
    val storeIsDown: Boolean get() = peerSync.storeIsDown(loop.now())

    /** Keeps the documents up to date until cancelled. */
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

    private companion object {
        /** Number of peers asked for changes at a time, some of which the store may not answer either. */
        const val PEERS_ASKED = 3
    }

    private inner class FollowerStoreStatus : StoreStatus {
        override val storeReachable: Boolean get() = follower.storeReachable

        override fun onReachableElsewhere() = follower.onReachableElsewhere()

        override fun onRestored(revision: StoreRevision) = follower.onRestored(revision)
    }
}
