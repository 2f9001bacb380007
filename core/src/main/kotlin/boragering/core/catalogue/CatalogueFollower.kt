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

    /** The newest modification of the head that was read. */
    @Volatile
    private var known = StoreRevision.NONE

    suspend fun run() = coroutineScope {
        launch { poll() }
        launch { watch() }
        launch { fetchSnapshots() }
    }

    /** Every daemon reads the head itself, so that a change reaches one that is cut off from its peers. */
    private suspend fun poll() {
        repeated({ POLL_INTERVAL * spread() }) { store.getIfNewer(CatalogueKeys.HEAD, known).map(::take) }
    }

    /** A watch brings a change at once; few daemons hold one, since each counts against the store's rate. */
    private suspend fun watch() {
        repeated({ if (isWatcher()) WATCH_PAUSE else RANK_INTERVAL }) {
            if (isWatcher()) watchOnce() else Either.Right(Unit)
        }
    }

    private suspend fun watchOnce(): Either<StoreFailure, Unit> =
        store.awaitChange(CatalogueKeys.HEAD, known, WATCH_TIME)
            .map { changes -> changes.filter { it.key == CatalogueKeys.HEAD }.forEach(::take) }

    private suspend fun fetchSnapshots() {
        replica.snapshotWanted.consumeEach {
            repeated({ FIRST_PAUSE * spread() }, { replica.isWaiting }) { loader.load().map(replica::take) }
        }
    }

    private suspend fun repeated(
        interval: () -> Duration,
        condition: () -> Boolean = { true },
        step: suspend () -> Either<StoreFailure, Unit>,
    ) {
        var failures = 0
        while (condition()) {
            failures = step().fold({ failures + 1 }, { 0 })
            if (condition()) delay(if (failures == 0) interval() else pause(failures))
        }
    }

    private fun take(stored: StoredValue?) {
        if (stored != null) {
            known = maxOf(known, stored.revision)
            replica.take(stored)
        }
    }

    /** Without a head that was read there is no position in the store's history from which to watch. */
    private fun isWatcher(): Boolean = known > StoreRevision.NONE &&
        peers.ranked(CatalogueKeys.HEAD, WATCHERS).any { it.daemon == peers.self.daemon }

    /** Twice as long after each failure, up to [POLL_INTERVAL], with jitter so that daemons do not return together. */
    private fun pause(failures: Int): Duration =
        minOf(FIRST_PAUSE * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)), POLL_INTERVAL) * spread()

    private fun spread(): Double = random.nextDouble(LEAST_SPREAD, 1.0)

    private companion object {
        val POLL_INTERVAL = 10.seconds
        val FIRST_PAUSE = 1.seconds
        val WATCH_TIME = 30.seconds

        // Bounds the rate of calls when watches end at once.
        val WATCH_PAUSE = 100.milliseconds
        val RANK_INTERVAL = 2.seconds
        const val MAXIMUM_DOUBLINGS = 5
        const val LEAST_SPREAD = 0.8
        const val WATCHERS = 2
    }
}
