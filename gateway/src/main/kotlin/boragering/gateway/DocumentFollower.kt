package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.StoreFailure
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The ways in which a [DocumentFollower] learns of changes. */
internal class FollowerFeeds(
    val store: DocumentFeed,
    val peers: PeerChangeFeed,
    val sourceSelector: DocumentSourceSelector,
)

/**
 * Keeps a [DocumentMirror] up to date: from the store, with calls that are at least [readInterval] apart, or from another gateway
 * that reads the store. While neither answers, [askPeer] asks another gateway for what it knows. Runs on the event
 * loop.
 */
class DocumentFollower internal constructor(
    private val feeds: FollowerFeeds,
    private val mirror: DocumentMirror,
    ports: GatewayPorts,
    clock: Clock,
    private val readInterval: () -> Duration,
    private val askPeer: () -> Unit,
) : StoreStatus {
    private val loop = ports.loop
    private val log = ports.log
    private val random = ports.random
    private val sourceSelector = feeds.sourceSelector
    private val suspensionDetector = SuspensionDetector(clock)
    private val availability = StoreAvailability()
    private var lastAnswerAt: Duration? = null
    private var lastConfirmedAt: Duration? = null
    private var lastReadAt: Duration? = null
    private var source: DocumentSource = DocumentSource.Store

    /** Whether the store answered not long ago, this gateway or the one from which it learns. */
    val recentlyAnswered: Boolean get() = lastAnswerAt.let { it != null && loop.now() - it < RECENT_ANSWER_TIME }

    override val storeReachable: Boolean get() = recentlyAnswered && availability.lostAt == null

    /** Time since which changes may be missing; `null` when that is not known. */
    val staleness: Duration?
        get() = lastConfirmedAt
            ?.takeIf { availability.lostAt == null && !suspensionDetector.suspended() }
            ?.let { loop.now() - it }

    /** Whether the store was out of reach, or not asked yet, and has been back for a short time only. */
    val recovering: Boolean
        get() {
            val recovery = if (availability.answeredBefore) OUTAGE_RECOVERY_TIME else RECOVERY_TIME
            return availability.lostAt != null ||
                availability.regainedAt.let { it != null && loop.now() - it < recovery }
        }

    /** Whether entries that disappear now may belong to instances that live. */
    val entriesMayReturn: Boolean get() = availability.entriesMayReturn(loop.now())

    override fun onReachableElsewhere() = availability.onReachableElsewhere(loop.now())

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            if (mirror.revision.value == 0L) readAll() else followOnce()
        }
    }

    private suspend fun followOnce() {
        val next = sourceSelector.select(loop.now(), lastConfirmedAt)
        if (next != source) log.event("documents-source", "source" to next, "age" to staleness)
        source = next
        when (next) {
            DocumentSource.Store -> followStore()
            is DocumentSource.Reader -> followReader(next.daemon)
        }
    }

    private suspend fun readAll() {
        val requestedAt = loop.now()
        feeds.store.read(PREFIX).fold({ onStoreFailure(it) }, { snapshot ->
            onConfirmed(requestedAt)
            mirror.replaceAll(snapshot)
            log.event("store-read", "revision" to snapshot.revision, "documents" to snapshot.documents.size)
        })
    }

    private suspend fun followStore() {
        // Changes that come in quick succession are read together, since each call counts at the store.
        loop.now().let { now -> lastReadAt?.let { delay((it + readInterval() - now).coerceAtLeast(Duration.ZERO)) } }
        val requestedAt = loop.now()
        lastReadAt = requestedAt
        val wait = if (sourceSelector.relayEnabled) RELAYING_STORE_WAIT_TIME else STORE_WAIT_TIME
        val result = feeds.store.changes(PREFIX, mirror.revision, wait)
        when (val failure = result.leftOrNull()) {
            null -> result.onRight { changes ->
                // The store waited for a change all the while when it tells of none.
                onConfirmed(if (changes.changes.isEmpty()) minOf(requestedAt + wait, loop.now()) else requestedAt)
                mirror.apply(changes)
            }
            FeedFailure.HistoryLost -> {
                log.event("store-history-lost", "revision" to mirror.revision)
                readAll()
            }
            is FeedFailure.Unavailable -> onStoreFailure(failure.cause)
        }
    }

    private suspend fun followReader(reader: DaemonId) {
        feeds.peers.changes(reader, mirror.revision).fold({ onReaderFailure(reader, it) }, { relayed ->
            mirror.apply(relayed.changes)
            val confirmedAt = relayed.confirmedAt
            if (confirmedAt != null && loop.now() - confirmedAt <= MAX_READER_AGE) {
                onConfirmed(confirmedAt)
            } else {
                onReaderFailure(reader, "its last proof is ${confirmedAt?.let { loop.now() - it } ?: "not known"} old")
            }
        })
    }

    private fun onReaderFailure(reader: DaemonId, reason: String) {
        sourceSelector.markFailed(reader, loop.now())
        log.event("reader-failed", "reader" to reader, "reason" to reason, "revision" to mirror.revision)
    }

    /** Nothing that happened before [confirmedAt] is missing, once what came with it is taken. */
    private fun onConfirmed(confirmedAt: Duration) {
        val now = loop.now()
        if (suspensionDetector.suspended()) suspensionDetector.reset()
        lastAnswerAt = now
        lastConfirmedAt = maxOf(confirmedAt, lastConfirmedAt ?: confirmedAt)
        availability.onAnswered(now)?.let { log.event("store-regained", "after" to it, "revision" to mirror.revision) }
    }

    private suspend fun onStoreFailure(failure: StoreFailure) {
        if (availability.onLost(loop.now())) {
            log.event("store-lost", "reason" to failure.reason, "revision" to mirror.revision)
        }
        askPeer()
        delay(RETRY_INTERVAL * (1 + random.nextDouble()))
    }

    private companion object {
        /** All documents: one waiting call costs less than one for each kind of document. */
        const val PREFIX = ""

        /** Bounds how long a silent connection goes unnoticed. */
        val STORE_WAIT_TIME = 2.seconds

        /** The same for a gateway whose proofs others wait for. */
        val RELAYING_STORE_WAIT_TIME = 400.milliseconds
        val RETRY_INTERVAL = 250.milliseconds
        val RECENT_ANSWER_TIME = 3.seconds

        /** Age of a reader's proof from which on another source is asked. */
        val MAX_READER_AGE = 900.milliseconds

        /** Time after which the planner of an outage has learned that the store is back. */
        val OUTAGE_RECOVERY_TIME = 1_800.milliseconds

        /** Time after which entries that expired while the store was out of reach are back. */
        val RECOVERY_TIME = 2_500.milliseconds
    }
}
