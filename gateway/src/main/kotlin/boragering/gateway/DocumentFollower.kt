package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The sources from which a [DocumentFollower] reads changes, and the selector that chooses between them. */
internal class FollowerFeeds(
    val store: DocumentFeed,
    val peers: PeerChangeFeed,
    val sourceSelector: DocumentSourceSelector,
)

/**
 * Keeps a [DocumentMirror] up to date from the store, with calls that are at least [readInterval] apart, or from
 * another gateway that reads the store. While the store does not answer, [askPeers] requests the changes that other
 * gateways know. Runs on the event loop.
 */
class DocumentFollower internal constructor(
    private val feeds: FollowerFeeds,
    private val mirror: DocumentMirror,
    ports: GatewayPorts,
    clock: Clock,
    private val readInterval: () -> Duration,
    private val askPeers: () -> Unit,
) : StoreStatus {
    private val loop = ports.loop
    private val log = ports.log
    private val random = ports.random
    private val sourceSelector = feeds.sourceSelector
    private val missingChanges = MissingChanges()
    private var lastReadAt: Duration? = null
    private var source: DocumentSource = DocumentSource.Store

    /** Whether and when the store answered, and how old the documents can be. */
    val freshness = DocumentFreshness(loop::now, clock, log)

    override val storeReachable: Boolean get() = freshness.storeReachable

    override fun onReachableElsewhere() = freshness.onReachableElsewhere()

    override fun onRestored(revision: StoreRevision) {
        log.event("store-restored", "known" to mirror.revision, "revision" to revision)
        freshness.onRestored(revision)
        loop.after(RestoredDocuments.WITHHOLD_TIME + RELEASE_DELAY) { mirror.releaseWithheld() }
    }

    /** Time for which a call waits for changes. A call that waits while the store is away notices its return late. */
    private val storeWaitTime: Duration
        get() = when {
            freshness.storeLost -> Duration.ZERO
            sourceSelector.relayEnabled -> RELAYING_STORE_WAIT_TIME
            else -> STORE_WAIT_TIME
        }

    /** Keeps the documents up to date until cancelled. */
    suspend fun run() {
        while (true) {
            when {
                mirror.revision == StoreRevision.NONE -> readAll()
                missingChanges.readDue(loop.now()) -> readMissing()
                else -> followOnce()
            }
            val missingFor = missingChanges.update(mirror.changesMissing, loop.now()) ?: continue
            log.event("store-changes-complete", "after" to missingFor, "revision" to mirror.revision)
        }
    }

    private suspend fun followOnce() {
        val next = sourceSelector.select(loop.now(), freshness.confirmedAt)
        if (next != source) log.event("documents-source", "source" to next, "age" to freshness.staleness)
        source = next
        when (next) {
            DocumentSource.Store -> followStore()
            is DocumentSource.Reader -> followReader(next.daemon)
        }
    }

    private suspend fun readAll(onFailure: suspend (StoreFailure, UnansweredCall) -> Unit = ::onStoreFailure) {
        val requestedAt = loop.now()
        feeds.store.read(PREFIX).fold({ onFailure(it, UnansweredCall(requestedAt)) }, { snapshot ->
            if (snapshot.revision >= mirror.revision) freshness.onConfirmed(requestedAt, snapshot.revision)
            if (mirror.restoredBefore(snapshot.revision)) onRestored(snapshot.revision)
            val replaced = mirror.replaceAll(snapshot)
            val documents = snapshot.documents.size
            log.event("store-read", "revision" to snapshot.revision, "documents" to documents, "replaced" to replaced)
        })
    }

    /** Reads all documents because changes are missing. The store may go on to answer other calls if this one fails. */
    private suspend fun readMissing() {
        readAll { failure, _ ->
            log.event("store-read-failed", "reason" to failure.reason, "revision" to mirror.revision)
            askPeers()
        }
        missingChanges.onReadEnd(loop.now())
    }

    private suspend fun followStore() {
        // Changes in quick succession are read with one call, because every call adds load to the store.
        loop.now().let { now -> lastReadAt?.let { delay((it + readInterval() - now).coerceAtLeast(Duration.ZERO)) } }
        val requestedAt = loop.now()
        lastReadAt = requestedAt
        val wait = missingChanges.limit(storeWaitTime)
        val result = feeds.store.changes(PREFIX, mirror.revision, wait)
        when (val failure = result.leftOrNull()) {
            null -> result.onRight { changes ->
                // An empty result means that the store waited for the full time without a change.
                val confirmedAt = if (changes.changes.isEmpty()) minOf(requestedAt + wait, loop.now()) else requestedAt
                if (changes.complete) freshness.onConfirmed(confirmedAt, changes.revision) else onIncomplete(changes)
                mirror.apply(changes)
            }
            FeedFailure.HistoryLost -> {
                log.event("store-history-lost", "revision" to mirror.revision)
                readAll()
            }
            is FeedFailure.Unreadable -> {
                log.event("store-answer-unreadable", "reason" to failure.reason, "revision" to mirror.revision)
                readAll()
            }
            is FeedFailure.Unavailable -> onStoreFailure(failure.cause, UnansweredCall(requestedAt, wait))
        }
    }

    private suspend fun followReader(reader: DaemonId) {
        val failure = feeds.peers.changes(reader, mirror.revision).fold({ it }, { relayed ->
            mirror.apply(relayed.changes)
            val age = relayed.confirmedAt?.let { loop.now() - it }
            if (age != null && age <= MAX_READER_AGE) {
                val confirmedAt = loop.now() - age
                return freshness.onConfirmed(confirmedAt, relayed.changes.revision, storeAnsweredAt = confirmedAt)
            }
            "its last confirmation is ${age ?: "not known"} old"
        })
        sourceSelector.markFailed(reader, loop.now())
        log.event("reader-failed", "reader" to reader, "reason" to failure, "revision" to mirror.revision)
    }

    /** Records that the store left out some of the changes before the revision of [changes]. */
    private fun onIncomplete(changes: DocumentChanges) {
        if (!mirror.changesMissing) {
            log.event("store-changes-missing", "known" to mirror.revision, "revision" to changes.revision)
        }
        freshness.onIncomplete(changes.revision)
    }

    private suspend fun onStoreFailure(failure: StoreFailure, call: UnansweredCall) {
        freshness.onLost(call, failure.reason, mirror.revision)
        askPeers()
        delay(RETRY_INTERVAL * (1 + random.nextDouble()))
    }

    /** Times and the prefix of the calls. */
    internal companion object {
        /** Selects all documents, because one waiting call costs less than one for each kind of document. */
        private const val PREFIX = ""

        /** Time for which a call waits for changes; bounds how long a dead connection goes unnoticed. */
        private val STORE_WAIT_TIME = 1.seconds

        /** [STORE_WAIT_TIME] while readers relay changes, since other gateways wait for a reader's confirmations. */
        private val RELAYING_STORE_WAIT_TIME = 400.milliseconds
        private val RETRY_INTERVAL = 250.milliseconds

        /** Makes up for timers that fire early. */
        private val RELEASE_DELAY = 50.milliseconds

        /** Age of a reader's confirmation above which another source is selected. */
        val MAX_READER_AGE = 900.milliseconds
    }
}
