package boragering.gateway

import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Passes changes of documents on to the gateways that ask for them. An answer waits until there is a change, for
 * [HOLD] at most, and is packed once for all that know the same. Used on the event loop only.
 *
 * @param proof time since this gateway's knowledge was proven; `null` when it is not.
 */
internal class DocumentRelay(
    private val mirror: DocumentMirror,
    private val link: PeerLink,
    private val loop: GatewayLoop,
    private val proof: () -> Duration?,
) {
    private class Waiting(val number: Long, val after: StoreRevision, val since: Duration)

    /** Changes after a revision, up to another one. */
    private class Packed(val after: StoreRevision, val upTo: StoreRevision, val changes: ByteArray?, val empty: Boolean)

    private val waiting = LinkedHashMap<DaemonId, Waiting>()
    private var packed: Packed? = null
    private var flushing = false
    private var expiring = false

    init {
        mirror.listen { changed() }
    }

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        if (message !is PeerMessage.ChangesRequest) return
        val request = Waiting(message.number, StoreRevision(message.after), loop.now())
        val news = pack(request.after)
        // Nothing is worth waiting for at a gateway whose own knowledge may be old.
        if (news.empty && proof() != null) keep(from, request) else answer(from, request, news)
    }

    private fun keep(from: DaemonId, request: Waiting) {
        waiting[from] = request
        expireLater()
    }

    /** All changes of one read are told together. */
    private fun changed() {
        if (flushing || waiting.isEmpty()) return
        flushing = true
        loop.execute {
            flushing = false
            answerAll { true }
        }
    }

    private fun expireLater() {
        if (expiring) return
        expiring = true
        loop.after(EXPIRY_CHECK) {
            expiring = false
            val now = loop.now()
            answerAll { now - it.since >= HOLD - EXPIRY_CHECK }
            if (waiting.isNotEmpty()) expireLater()
        }
    }

    private fun answerAll(due: (Waiting) -> Boolean) {
        waiting.entries.filter { due(it.value) }.forEach { (daemon, request) ->
            waiting.remove(daemon)
            answer(daemon, request, pack(request.after))
        }
    }

    private fun answer(to: DaemonId, request: Waiting, news: Packed) {
        val message = PeerMessage.ChangesAnswer(
            number = request.number,
            revision = news.upTo.value,
            ageMilliseconds = proof()?.inWholeMilliseconds,
            heldMilliseconds = (loop.now() - request.since).inWholeMilliseconds,
            changes = news.changes,
        )
        link.send(to, message)
    }

    private fun pack(after: StoreRevision): Packed {
        packed?.takeIf { it.after == after && it.upTo == mirror.revision }?.let { return it }
        val changes = mirror.since(after)?.changes
        val bytes = if (changes.isNullOrEmpty()) ByteArray(0).takeIf { changes != null } else ChangeCodec.pack(changes)
        return Packed(after, mirror.revision, bytes, empty = changes != null && changes.isEmpty()).also { packed = it }
    }

    companion object {
        /** Longest time for which an answer waits for a change. */
        val HOLD = 800.milliseconds
        private val EXPIRY_CHECK = 100.milliseconds
    }
}
