package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Distributes items between daemons by gossip. A new version is sent to a few neighbours in each of a few rounds
 * (rumour mongering). In addition, the versions of all items are compared with one neighbour at a time (anti-entropy),
 * which repairs lost messages. Neighbours are selected round-robin in a random order.
 *
 * Small items are sent with their content. For larger items only the version is announced, because a peer usually
 * receives several announcements of a version and should receive the content once.
 */
class Dissemination(
    private val items: ItemReplica,
    private val peers: Peers,
    private val link: PeerLink,
    clock: Clock,
    random: Random,
) {
    private val random = LockedRandom(random)
    private val lock = ReentrantLock()
    private val roundsLeft = HashMap<String, Int>()
    private val gossipOrder = ShuffledRoundRobin(this.random)
    private val comparisonOrder = ShuffledRoundRobin(this.random)
    private val requests = ItemRequests(items, link, clock)
    private val exchange = ItemExchange(items, link, requests)
    private val wakeSignal = WakeSignal()

    init {
        items.listen("") { item ->
            lock.withLock { roundsLeft[item.key] = GOSSIP_ROUNDS }
            wakeSignal.signal()
        }
    }

    /** Runs both loops until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { runGossipLoop() }
        launch { repeatEvery(COMPARISON_INTERVAL) { startComparison() } }
    }

    /** Runs the gossip rounds. A daemon without new items or pending requests waits instead of running each round. */
    private suspend fun runGossipLoop() {
        while (true) {
            if (lock.withLock { roundsLeft.isEmpty() } && !requests.hasPending) wakeSignal.await(COMPARISON_INTERVAL)
            delay(random.jittered(GOSSIP_INTERVAL))
            gossip()
        }
    }

    /** Runs one round of rumour mongering: sends each item that has rounds left to [FANOUT] neighbours. */
    fun gossip() {
        requests.retry()
        if (neighbours().isEmpty()) return
        val updates = lock.withLock {
            val keys = roundsLeft.keys.toList()
            roundsLeft.replaceAll { _, rounds -> rounds - 1 }
            roundsLeft.values.removeIf { it <= 0 }
            keys
        }.mapNotNull(items::get)
        if (updates.isEmpty()) return
        gossipOrder.next(neighbours(), FANOUT).forEach { exchange.offer(it, updates) }
    }

    /** Stops gossiping the items with [keys], because all daemons receive them from the same source as this one. */
    fun markKnown(keys: Set<String>) = lock.withLock { roundsLeft.keys.removeAll(keys) }

    /** Starts an anti-entropy comparison of all versions with one neighbour. */
    fun startComparison() {
        val summary = PeerMessage.DigestSummary(ItemDigest.summary(items.all("")))
        comparisonOrder.next(neighbours(), 1).forEach { link.send(it, summary) }
    }

    /** Handles a message from another daemon; ignores messages for other components. */
    fun handle(from: DaemonId, message: PeerMessage) = exchange.handle(from, message)

    private fun neighbours(): List<DaemonId> = peers.neighbours.map { it.daemon }

    private suspend fun repeatEvery(interval: Duration, action: () -> Unit) {
        while (true) {
            delay(random.jittered(interval))
            action()
        }
    }

    /** Parameters of the gossip protocol. */
    companion object {
        /** Number of neighbours to which a new item is sent in each round. */
        const val FANOUT = 3

        /** Number of rounds in which a daemon sends an item after it received a new version. */
        const val GOSSIP_ROUNDS = 4

        /** Mean time between gossip rounds. */
        val GOSSIP_INTERVAL = 200.milliseconds

        /** Mean time between anti-entropy comparisons. */
        val COMPARISON_INTERVAL = 2.seconds
    }
}
