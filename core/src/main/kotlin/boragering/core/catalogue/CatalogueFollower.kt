package boragering.core.catalogue

import arrow.core.Either
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.membership.Peers
import boragering.core.membership.ranked
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads the stored catalogue for a [CatalogueReplica]. */
internal class CatalogueFollower(
    private val store: Store,
    private val peers: Peers,
    private val random: Random,
    private val replica: CatalogueReplica,
) {
    private val loader = CatalogueLoader(store)

    /** The store revision of the newest head that was read. */
    @Volatile
    private var lastSeenRevision = StoreRevision.NONE

    suspend fun run() = coroutineScope {
        launch { poll() }
        launch { watch() }
        launch { fetchSnapshots() }
    }

    /** Polls the head. Every daemon does, so that a daemon that is cut off from its peers still gets each change. */
    private suspend fun poll() {
        repeatWithBackoff({ POLL_INTERVAL * jitterFactor() }) {
            store.getIfNewer(CatalogueKeys.HEAD, lastSeenRevision).map(::acceptHead)
        }
    }

    /** Watches the head to get changes at once. Only a few daemons do, since watches count against the store's rate. */
    private suspend fun watch() {
        repeatWithBackoff({ if (isWatcher()) WATCH_INTERVAL else WATCHER_CHECK_INTERVAL }) {
            if (isWatcher()) watchOnce() else Either.Right(Unit)
        }
    }

    private suspend fun watchOnce(): Either<StoreFailure, Unit> =
        store.awaitChange(CatalogueKeys.HEAD, lastSeenRevision, WATCH_TIMEOUT)
            .map { changes -> changes.filter { it.key == CatalogueKeys.HEAD }.forEach(::acceptHead) }

    private suspend fun fetchSnapshots() {
        replica.snapshotRequests.consumeEach {
            repeatWithBackoff({ INITIAL_BACKOFF * jitterFactor() }, { replica.needsSnapshot }) {
                loader.load().map(replica::accept)
            }
        }
    }

    private suspend fun repeatWithBackoff(
        interval: () -> Duration,
        condition: () -> Boolean = { true },
        step: suspend () -> Either<StoreFailure, Unit>,
    ) {
        var failures = 0
        while (condition()) {
            failures = step().fold({ failures + 1 }, { 0 })
            if (condition()) delay(if (failures == 0) interval() else backoff(failures))
        }
    }

    private fun acceptHead(stored: StoredValue?) {
        if (stored != null) {
            lastSeenRevision = maxOf(lastSeenRevision, stored.revision)
            replica.accept(stored)
        }
    }

    /** Whether this daemon watches the head. A watch starts at the store revision of a head that was read before. */
    private fun isWatcher(): Boolean = lastSeenRevision > StoreRevision.NONE &&
        peers.ranked(CatalogueKeys.HEAD, WATCHER_COUNT).any { it.daemon == peers.self.daemon }

    /** Doubles the delay after each failure, up to [POLL_INTERVAL]; jitter keeps daemons from retrying together. */
    private fun backoff(failures: Int): Duration =
        minOf(INITIAL_BACKOFF * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)), POLL_INTERVAL) * jitterFactor()

    private fun jitterFactor(): Double = random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0)

    private companion object {
        val POLL_INTERVAL = 10.seconds
        val INITIAL_BACKOFF = 1.seconds
        val WATCH_TIMEOUT = 30.seconds

        // Limits the rate of calls when watches return immediately.
        val WATCH_INTERVAL = 100.milliseconds
        val WATCHER_CHECK_INTERVAL = 2.seconds
        const val MAXIMUM_DOUBLINGS = 5
        const val MINIMUM_JITTER_FACTOR = 0.8
        const val WATCHER_COUNT = 2
    }
}
