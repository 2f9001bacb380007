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
 * Passes items on between daemons: newer ones are sent to a few neighbours in each of a few rounds (rumour mongering),
 * and the versions of all items are compared with one neighbour at a time (anti-entropy), which repairs what was lost.
 * Neighbours take turns in a random order.
 *
 * Small items are sent whole. Of larger ones only the version is announced, since a peer usually hears of a version
 * several times and should receive the content once.
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
    private val remainingRounds = HashMap<String, Int>()
    private val gossipOrder = ShuffledRoundRobin(this.random)
    private val comparisonOrder = ShuffledRoundRobin(this.random)
    private val requests = ItemRequests(items, link, clock)
    private val exchange = ItemExchange(items, link, requests)
    private val wakeSignal = WakeSignal()

    init {
        items.listen("") { item ->
            lock.withLock { remainingRounds[item.key] = GOSSIP_ROUNDS }
            wakeSignal.signal()
        }
    }

    /** Runs both loops until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { runGossipLoop() }
        launch { repeatEvery(COMPARISON_INTERVAL) { startComparison() } }
    }

    /** A daemon that has nothing to pass on does not wake for each round. */
    private suspend fun runGossipLoop() {
        while (true) {
            if (lock.withLock { remainingRounds.isEmpty() } && !requests.hasPending) wakeSignal.await(COMPARISON_INTERVAL)
            delay(random.jittered(GOSSIP_INTERVAL))
            gossip()
        }
    }

    /** One round of rumour mongering; each item known as new is sent to [FANOUT] neighbours. */
    fun gossip() {
        requests.retry()
        if (neighbours().isEmpty()) return
        val updates = lock.withLock {
            val keys = remainingRounds.keys.toList()
            remainingRounds.replaceAll { _, rounds -> rounds - 1 }
            remainingRounds.values.removeIf { it <= 0 }
            keys
        }.mapNotNull(items::get)
        if (updates.isEmpty()) return
        gossipOrder.next(neighbours(), FANOUT).forEach { exchange.offer(it, updates) }
    }

    /** All daemons learn of the items of [keys] as this one did; they are not passed on. */
    fun markKnown(keys: Set<String>) = lock.withLock { remainingRounds.keys.removeAll(keys) }

    /** Starts a comparison of all versions with one neighbour. */
    fun startComparison() {
        val summary = PeerMessage.DigestSummary(ItemDigest.summary(items.all("")))
        comparisonOrder.next(neighbours(), 1).forEach { link.send(it, summary) }
    }

    /** Handles a message of another daemon; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) = exchange.handle(from, message)

    private fun neighbours(): List<DaemonId> = peers.neighbours.map { it.daemon }

    private suspend fun repeatEvery(interval: Duration, action: () -> Unit) {
        while (true) {
            delay(random.jittered(interval))
            action()
        }
    }

    /** Constants of the protocol between daemons. */
    companion object {
        /** Number of neighbours that get a newer item in each round. */
        const val FANOUT = 3

        /** Rounds in which a daemon passes an item on after it learned of it. */
        const val GOSSIP_ROUNDS = 4

        /** Time between rounds. */
        val GOSSIP_INTERVAL = 200.milliseconds

        /** Time between comparisons of versions with a neighbour. */
        val COMPARISON_INTERVAL = 2.seconds
    }
}
