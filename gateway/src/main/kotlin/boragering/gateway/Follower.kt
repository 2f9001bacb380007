package boragering.gateway

import boragering.core.StoreFailure
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps a [Mirror] up to date from the store, with calls that are at least [spacing] apart. While the store does not
 * answer this gateway, [askPeer] asks another one for what it knows. Runs on the event loop.
 */
class Follower(
    private val feed: DocumentFeed,
    private val mirror: Mirror,
    ports: GatewayPorts,
    private val spacing: () -> Duration,
    private val askPeer: () -> Unit,
) : StoreStanding {
    private val loop = ports.loop
    private val log = ports.log
    private val random = ports.random
    private var answeredAt: Duration? = null
    private val contact = StoreContact()
    private var followedAt: Duration? = null

    /** Whether the store answered not long ago. */
    val current: Boolean get() = answeredAt.let { it != null && loop.now() - it < FRESHNESS }

    override val storeAnswers: Boolean get() = current && contact.lostAt == null

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

    private suspend fun read() {
        feed.read(PREFIX).fold({ failed(it) }, { snapshot ->
            answered()
            mirror.replace(snapshot)
            log.state("store-read", "revision" to snapshot.revision, "documents" to snapshot.documents.size)
        })
    }

    private suspend fun follow() {
        // Changes that come in quick succession are read together, since each call counts at the store.
        loop.now().let { now -> followedAt?.let { delay((it + spacing() - now).coerceAtLeast(Duration.ZERO)) } }
        followedAt = loop.now()
        val result = feed.changes(PREFIX, mirror.revision, WAIT)
        when (val failure = result.leftOrNull()) {
            null -> {
                answered()
                result.onRight(mirror::apply)
            }
            FeedFailure.HistoryLost -> {
                log.state("store-history-lost", "revision" to mirror.revision)
                read()
            }
            is FeedFailure.Unavailable -> failed(failure.cause)
        }
    }

    private fun answered() {
        val now = loop.now()
        answeredAt = now
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
        val RETRY_INTERVAL = 250.milliseconds
        val FRESHNESS = 3.seconds

        /** Time after which the planner of an outage has learned that the store is back. */
        val OUTAGE_NOTICE = 1_800.milliseconds

        /** Time after which entries that expired while the store was out of reach are back. */
        val RECOVERY_TIME = 2_500.milliseconds
    }
}
