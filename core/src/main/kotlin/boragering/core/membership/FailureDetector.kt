package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Provides the daemons that the failure detector pings, and receives the results. */
internal interface FailureDetectorCallbacks {
    /** The live daemons that this daemon pings. */
    fun neighbours(): List<DaemonId>

    /** The heartbeat that this daemon reports in its ping answers. */
    fun ownHeartbeat(): Long

    /** Called when [daemon] reported [heartbeat] in a ping answer. */
    fun onAnswer(daemon: DaemonId, heartbeat: Long)

    /** Called when [daemon] answered neither the direct ping nor the indirect ones. */
    fun onNoAnswer(daemon: DaemonId)
}

/**
 * Pings one neighbour about every second. The neighbours are pinged in the order of a random permutation, so each is
 * pinged within a bounded time and the cost does not depend on the number of daemons.
 */
internal class FailureDetector(
    private val self: DaemonId,
    private val callbacks: FailureDetectorCallbacks,
    private val link: PeerLink,
    private val pauseDetector: PauseDetector,
    private val clock: Clock,
    private val random: Random,
) {
    private val lock = ReentrantLock()
    private var lastSequence = 0L
    private val probes = HashMap<Long, PendingPing>()
    private val relays = HashMap<Long, RelayedPing>()
    private val pingOrder = ShuffledRoundRobin(random)

    /** Pings until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            delay(random.jittered(INTERVAL))
            nextTarget()?.let { launch { probe(it) } }
        }
    }

    /** Handles a message from another daemon; ignores messages for other components. */
    fun handle(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Ping ->
                link.send(from, PeerMessage.PingAnswer(message.sequence, self, callbacks.ownHeartbeat()))
            is PeerMessage.PingRequest -> relay(from, message)
            is PeerMessage.PingAnswer -> handleAnswer(message)
            else -> Unit
        }
    }

    private fun nextTarget(): DaemonId? = pingOrder.next(callbacks.neighbours(), 1).firstOrNull()

    private suspend fun probe(target: DaemonId) {
        val pausesBefore = pauseDetector.pauseCount
        val probe = PendingPing(target)
        val sequence = lock.withLock { (++lastSequence).also { probes[it] = probe } }
        try {
            link.send(target, PeerMessage.Ping(sequence))
            val responded = probe.await(DIRECT_TIMEOUT) ||
                requestIndirectPings(sequence, target).run { probe.await(INDIRECT_TIMEOUT) }
            pauseDetector.check()
            if (!responded && pauseDetector.pauseCount == pausesBefore) callbacks.onNoAnswer(target)
        } finally {
            lock.withLock { probes.remove(sequence) }
        }
    }

    private fun requestIndirectPings(sequence: Long, target: DaemonId) {
        val intermediaries = (callbacks.neighbours() - target).shuffled(random).take(INTERMEDIARIES)
        intermediaries.forEach { link.send(it, PeerMessage.PingRequest(sequence, target)) }
    }

    private fun relay(from: DaemonId, request: PeerMessage.PingRequest) {
        val now = clock.monotonic()
        val sequence = lock.withLock {
            relays.values.removeIf { now - it.sentAt > INDIRECT_TIMEOUT }
            (++lastSequence).also { relays[it] = RelayedPing(from, request.sequence, request.target, now) }
        }
        link.send(request.target, PeerMessage.Ping(sequence))
    }

    private fun handleAnswer(answer: PeerMessage.PingAnswer) {
        val (probe, relay) = lock.withLock { probes[answer.sequence] to relays.remove(answer.sequence) }
        probe?.takeIf { it.target == answer.about }?.response?.complete(Unit)
        relay?.takeIf { it.target == answer.about }
            ?.let { link.send(it.requester, answer.copy(sequence = it.sequence)) }
        callbacks.onAnswer(answer.about, answer.heartbeat)
    }

    private class PendingPing(val target: DaemonId) {
        val response = CompletableDeferred<Unit>()

        suspend fun await(timeout: Duration): Boolean = withTimeoutOrNull(timeout) { response.await() } != null
    }

    private class RelayedPing(val requester: DaemonId, val sequence: Long, val target: DaemonId, val sentAt: Duration)

    /** Intervals and timeouts of the pings. */
    companion object {
        /** Mean time between pings. */
        val INTERVAL = 1.seconds

        /** Time to wait for a direct answer before other daemons are asked to ping the target. */
        val DIRECT_TIMEOUT = 500.milliseconds

        /** Time to wait for an answer through other daemons. */
        val INDIRECT_TIMEOUT = 1.seconds

        private const val INTERMEDIARIES = 2
    }
}
