package boragering.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a reader said.
 *
 * @property changes all changes that it knows after the revision asked for.
 * @property confirmedAt time of this gateway's monotonic clock from which on nothing can be missing; `null` without proof.
 */
internal class RelayedChanges(val changes: DocumentChanges, val confirmedAt: Duration?)

/** Asks other gateways for changes of documents. Used on the event loop only. */
internal class PeerChangeFeed(private val link: PeerLink, private val loop: GatewayLoop) {
    private class PendingRequest(val reader: DaemonId, val askedAt: Duration) {
        val answer = CompletableDeferred<PeerMessage.ChangesAnswer>()
    }

    private val pendingRequests = HashMap<Long, PendingRequest>()
    private var lastNumber = 0L

    /** The changes after [after] that [reader] knows, or why there are none. */
    suspend fun changes(reader: DaemonId, after: StoreRevision): Either<String, RelayedChanges> {
        val pending = PendingRequest(reader, loop.now())
        val number = ++lastNumber
        pendingRequests[number] = pending
        link.send(reader, PeerMessage.ChangesRequest(number, after.value))
        val answer = withTimeoutOrNull(ANSWER_TIMEOUT) { pending.answer.await() }
        pendingRequests.remove(number)
        return answer?.let { decode(it, pending) } ?: "no answer within $ANSWER_TIMEOUT".left()
    }

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        if (message !is PeerMessage.ChangesAnswer) return
        pendingRequests[message.number]?.takeIf { it.reader == from }?.answer?.complete(message)
    }

    private fun decode(answer: PeerMessage.ChangesAnswer, pending: PendingRequest): Either<String, RelayedChanges> {
        val encoded = answer.changes ?: return "it does not know all changes".left()
        val decoded = if (encoded.isEmpty()) emptyList<DocumentChange>().right() else ChangeCodec.decode(encoded)
        return decoded.flatMap { changes ->
            val documentChanges = DocumentChanges(changes.toPersistentList(), StoreRevision(answer.revision))
            RelayedChanges(documentChanges, confirmedAt(answer, pending)).right()
        }
    }

    /** The time on the way counts as age; the time for which the reader waited does not. */
    private fun confirmedAt(answer: PeerMessage.ChangesAnswer, pending: PendingRequest): Duration? {
        val age = answer.ageMilliseconds ?: return null
        val transitTime = loop.now() - pending.askedAt - answer.heldMilliseconds.milliseconds
        return loop.now() - transitTime.coerceAtLeast(Duration.ZERO) - age.milliseconds
    }

    private companion object {
        /** Time after which another source is asked. */
        val ANSWER_TIMEOUT = DocumentRelay.MAX_HOLD_TIME + 300.milliseconds
    }
}
