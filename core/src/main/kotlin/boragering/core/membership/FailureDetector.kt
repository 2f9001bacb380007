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

/** Whom the failure detector examines and what it tells of its findings. */
internal interface Suspects {
    /** The live daemons that this one examines. */
    fun neighbours(): List<DaemonId>

    /** The heartbeat that this daemon states in its answers. */
    fun ownHeartbeat(): Long

    /** [daemon] stated [heartbeat]. */
    fun answered(daemon: DaemonId, heartbeat: Long)

    /** [daemon] did not respond, neither directly nor through others. */
    fun suspect(daemon: DaemonId)
}

/**
 * Pings one neighbour every second, in the order of a random permutation, so that each daemon is pinged in bounded time
 * and the cost does not depend on their number.
 */
internal class FailureDetector(
    private val self: DaemonId,
    private val suspects: Suspects,
    private val link: PeerLink,
    private val pauses: PauseDetector,
    private val clock: Clock,
    private val random: Random,
) {
    private val lock = ReentrantLock()
    private var lastSequence = 0L
    private val probes = HashMap<Long, Probe>()
    private val relays = HashMap<Long, Relay>()
    private val rotation = Rotation(random)

    /** Pings until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            delay(random.jittered(INTERVAL))
            nextTarget()?.let { launch { probe(it) } }
        }
    }

    /** Handles a message of another daemon; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Ping ->
                link.send(from, PeerMessage.PingAnswer(message.sequence, self, suspects.ownHeartbeat()))
            is PeerMessage.PingRequest -> relay(from, message)
            is PeerMessage.PingAnswer -> answered(message)
            else -> Unit
        }
    }

    private fun nextTarget(): DaemonId? = rotation.next(suspects.neighbours(), 1).firstOrNull()

    private suspend fun probe(target: DaemonId) {
        val pausesBefore = pauses.pauses
        val probe = Probe(target)
        val sequence = lock.withLock { (++lastSequence).also { probes[it] = probe } }
        try {
            link.send(target, PeerMessage.Ping(sequence))
            val responded = probe.await(DIRECT_LIMIT) || ask(sequence, target).run { probe.await(INDIRECT_LIMIT) }
            pauses.check()
            if (!responded && pauses.pauses == pausesBefore) suspects.suspect(target)
        } finally {
            lock.withLock { probes.remove(sequence) }
        }
    }

    private fun ask(sequence: Long, target: DaemonId) {
        val helpers = (suspects.neighbours() - target).shuffled(random).take(HELPERS)
        helpers.forEach { link.send(it, PeerMessage.PingRequest(sequence, target)) }
    }

    private fun relay(from: DaemonId, request: PeerMessage.PingRequest) {
        val now = clock.monotonic()
        val sequence = lock.withLock {
            relays.values.removeIf { now - it.at > INDIRECT_LIMIT }
            (++lastSequence).also { relays[it] = Relay(from, request.sequence, request.target, now) }
        }
        link.send(request.target, PeerMessage.Ping(sequence))
    }

    private fun answered(answer: PeerMessage.PingAnswer) {
        val (probe, relay) = lock.withLock { probes[answer.sequence] to relays.remove(answer.sequence) }
        probe?.takeIf { it.target == answer.about }?.response?.complete(Unit)
        relay?.takeIf { it.target == answer.about }
            ?.let { link.send(it.requester, answer.copy(sequence = it.sequence)) }
        suspects.answered(answer.about, answer.heartbeat)
    }

    private class Probe(val target: DaemonId) {
        val response = CompletableDeferred<Unit>()

        suspend fun await(limit: Duration): Boolean = withTimeoutOrNull(limit) { response.await() } != null
    }

    private class Relay(val requester: DaemonId, val sequence: Long, val target: DaemonId, val at: Duration)

    /** Times of the failure detection. */
    companion object {
        /** Time between pings. */
        val INTERVAL = 1.seconds

        /** Time for a direct response, after which others are asked to ping. */
        val DIRECT_LIMIT = 500.milliseconds

        /** Time for a response through others. */
        val INDIRECT_LIMIT = 1.seconds

        private const val HELPERS = 2
    }
}
