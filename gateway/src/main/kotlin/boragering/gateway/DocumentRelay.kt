package boragering.gateway

import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Relays document changes to the gateways that request them (long polling). A request is held until there is a change,
 * for [MAX_HOLD_TIME] at most. Changes are encoded once for all gateways that have the same revision. Used on the event
 * loop only.
 *
 * @param confirmationAge time since this gateway's documents were confirmed to be complete; `null` if it is not known.
 */
internal class DocumentRelay(
    private val mirror: DocumentMirror,
    private val link: PeerLink,
    private val loop: GatewayLoop,
    private val confirmationAge: () -> Duration?,
) {
    private class WaitingRequest(val number: Long, val after: StoreRevision, val heldSince: Duration)

    /** Encoded changes after one revision up to another; [changes] is `null` if they are not known any more. */
    private class EncodedChanges(
        val after: StoreRevision,
        val upTo: StoreRevision,
        val changes: ByteArray?,
        val empty: Boolean,
    )

    private val waitingRequests = LinkedHashMap<DaemonId, WaitingRequest>()
    private var lastEncoded: EncodedChanges? = null
    private var answersScheduled = false
    private var expiryScheduled = false

    init {
        mirror.addListener { onChange() }
    }

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        if (message !is PeerMessage.ChangesRequest) return
        val request = WaitingRequest(message.number, StoreRevision(message.after, message.era), loop.now())
        val encoded = encode(request.after)
        // A gateway whose own documents may be outdated answers at once, so that the other one turns to another source.
        if (encoded.empty && confirmationAge() != null) hold(from, request) else answer(from, request, encoded)
    }

    private fun hold(from: DaemonId, request: WaitingRequest) {
        waitingRequests[from] = request
        scheduleExpiry()
    }

    /** Schedules one answer for all changes that are applied together. */
    private fun onChange() {
        if (answersScheduled || waitingRequests.isEmpty()) return
        answersScheduled = true
        loop.execute {
            answersScheduled = false
            answerAll { true }
        }
    }

    private fun scheduleExpiry() {
        if (expiryScheduled) return
        expiryScheduled = true
        loop.after(EXPIRY_CHECK_INTERVAL) {
            expiryScheduled = false
            val now = loop.now()
            answerAll { now - it.heldSince >= MAX_HOLD_TIME - EXPIRY_CHECK_INTERVAL }
            if (waitingRequests.isNotEmpty()) scheduleExpiry()
        }
    }

    private fun answerAll(isDue: (WaitingRequest) -> Boolean) {
        waitingRequests.entries.filter { isDue(it.value) }.forEach { (daemon, request) ->
            waitingRequests.remove(daemon)
            answer(daemon, request, encode(request.after))
        }
    }

    private fun answer(to: DaemonId, request: WaitingRequest, encoded: EncodedChanges) {
        val message = PeerMessage.ChangesAnswer(
            number = request.number,
            revision = encoded.upTo.value,
            ageMilliseconds = confirmationAge()?.inWholeMilliseconds,
            heldMilliseconds = (loop.now() - request.heldSince).inWholeMilliseconds,
            changes = encoded.changes,
            era = encoded.upTo.era,
        )
        link.send(to, message)
    }

    private fun encode(after: StoreRevision): EncodedChanges {
        lastEncoded?.takeIf { it.after == after && it.upTo == mirror.revision }?.let { return it }
        val changes = mirror.changesSince(after)?.changes
        val bytes =
            if (changes.isNullOrEmpty()) ByteArray(0).takeIf { changes != null } else ChangeCodec.encode(changes)
        return EncodedChanges(after, mirror.revision, bytes, empty = changes != null && changes.isEmpty())
            .also { lastEncoded = it }
    }

    companion object {
        /** Longest time for which a request is held until there is a change. */
        val MAX_HOLD_TIME = 800.milliseconds
        private val EXPIRY_CHECK_INTERVAL = 100.milliseconds
    }
}
