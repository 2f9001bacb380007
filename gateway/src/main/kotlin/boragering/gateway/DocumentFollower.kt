package boragering.gateway

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.StoreFailure
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The ways in which a [DocumentFollower] learns of changes. */
internal class FollowerFeeds(val store: DocumentFeed, val peers: PeerChangeFeed, val sources: DocumentSourceSelector)

/**
 * Keeps a [DocumentMirror] up to date: from the store, with calls that are at least [spacing] apart, or from another gateway
 * that reads the store. While neither answers, [askPeer] asks another gateway for what it knows. Runs on the event
 * loop.
 */
class DocumentFollower internal constructor(
    private val feeds: FollowerFeeds,
    private val mirror: DocumentMirror,
    ports: GatewayPorts,
    clock: Clock,
    private val spacing: () -> Duration,
    private val askPeer: () -> Unit,
) : StoreStatus {
    private val loop = ports.loop
    private val log = ports.log
    private val random = ports.random
    private val sources = feeds.sources
    private val suspension = SuspensionDetector(clock)
    private val contact = StoreAvailability()
    private var answeredAt: Duration? = null
    private var provenAt: Duration? = null
    private var followedAt: Duration? = null
    private var source: DocumentSource = DocumentSource.Store

    /** Whether the store answered not long ago, this gateway or the one from which it learns. */
    val current: Boolean get() = answeredAt.let { it != null && loop.now() - it < FRESHNESS }

    override val storeAnswers: Boolean get() = current && contact.lostAt == null

    /** Time since which changes may be missing; `null` when that is not known. */
    val age: Duration?
        get() = provenAt?.takeIf { contact.lostAt == null && !suspension.suspended() }?.let { loop.now() - it }

    /** Whether the store was out of reach, or not asked yet, and has been back for a short time only. */
    val recovering: Boolean
        get() {
            val recovery = if (contact.knownBefore) OUTAGE_NOTICE else RECOVERY_TIME
            return contact.lostAt != null || contact.regainedAt.let { it != null && loop.now() - it < recovery }
        }

    /** Whether entries that disappear now may belong to instances that live. */
    val entriesMayReturn: Boolean get() = contact.entriesMayReturn(loop.now())

    override fun answeredElsewhere() = contact.answeredElsewhere(loop.now())

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            if (mirror.revision.value == 0L) read() else follow()
        }
    }

    private suspend fun follow() {
        val next = sources.next(loop.now(), provenAt)
        if (next != source) log.state("documents-source", "source" to next, "age" to age)
        source = next
        when (next) {
            DocumentSource.Store -> followStore()
            is DocumentSource.Reader -> followReader(next.daemon)
        }
    }

    private suspend fun read() {
        val asked = loop.now()
        feeds.store.read(PREFIX).fold({ failed(it) }, { snapshot ->
            answered(asked)
            mirror.replace(snapshot)
            log.state("store-read", "revision" to snapshot.revision, "documents" to snapshot.documents.size)
        })
    }

    private suspend fun followStore() {
        // Changes that come in quick succession are read together, since each call counts at the store.
        loop.now().let { now -> followedAt?.let { delay((it + spacing() - now).coerceAtLeast(Duration.ZERO)) } }
        val asked = loop.now()
        followedAt = asked
        val wait = if (sources.relayed) RELAYED_WAIT else WAIT
        val result = feeds.store.changes(PREFIX, mirror.revision, wait)
        when (val failure = result.leftOrNull()) {
            null -> result.onRight { changes ->
                // The store waited for a change all the while when it tells of none.
                answered(if (changes.changes.isEmpty()) minOf(asked + wait, loop.now()) else asked)
                mirror.apply(changes)
            }
            FeedFailure.HistoryLost -> {
                log.state("store-history-lost", "revision" to mirror.revision)
                read()
            }
            is FeedFailure.Unavailable -> failed(failure.cause)
        }
    }

    private suspend fun followReader(reader: DaemonId) {
        feeds.peers.changes(reader, mirror.revision).fold({ distrust(reader, it) }, { news ->
            mirror.apply(news.changes)
            val proof = news.provenAt
            if (proof != null && loop.now() - proof <= READER_AGE) {
                answered(proof)
            } else {
                distrust(reader, "its last proof is ${proof?.let { loop.now() - it } ?: "not known"} old")
            }
        })
    }

    private fun distrust(reader: DaemonId, reason: String) {
        sources.failed(reader, loop.now())
        log.state("reader-failed", "reader" to reader, "reason" to reason, "revision" to mirror.revision)
    }

    /** Nothing that happened before [proof] is missing, once what came with it is taken. */
    private fun answered(proof: Duration) {
        val now = loop.now()
        if (suspension.suspended()) suspension.mark()
        answeredAt = now
        provenAt = maxOf(proof, provenAt ?: proof)
        contact.answered(now)?.let { log.state("store-regained", "after" to it, "revision" to mirror.revision) }
    }

    private suspend fun failed(failure: StoreFailure) {
        if (contact.lost(loop.now())) {
            log.state("store-lost", "reason" to failure.reason, "revision" to mirror.revision)
        }
        askPeer()
        delay(RETRY_INTERVAL * (1 + random.nextDouble()))
    }

    private companion object {
        /** All documents: one waiting call costs less than one for each kind of document. */
        const val PREFIX = ""

        /** Bounds how long a silent connection goes unnoticed. */
        val WAIT = 2.seconds

        /** The same for a gateway whose proofs others wait for. */
        val RELAYED_WAIT = 400.milliseconds
        val RETRY_INTERVAL = 250.milliseconds
        val FRESHNESS = 3.seconds

        /** Age of a reader's proof from which on another source is asked. */
        val READER_AGE = 900.milliseconds

        /** Time after which the planner of an outage has learned that the store is back. */
        val OUTAGE_NOTICE = 1_800.milliseconds

        /** Time after which entries that expired while the store was out of reach are back. */
        val RECOVERY_TIME = 2_500.milliseconds
    }
}
