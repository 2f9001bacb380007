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
 * The answer of a reader to a request for changes.
 *
 * @property changes all changes after the requested revision that the reader knows.
 * @property confirmedAt time of this gateway's monotonic clock up to which no change is missing; `null` if not known.
 */
internal class RelayedChanges(val changes: DocumentChanges, val confirmedAt: Duration?)

/** Requests document changes from other gateways. Used on the event loop only. */
internal class PeerChangeFeed(private val link: PeerLink, private val loop: GatewayLoop) {
    private class PendingRequest(val reader: DaemonId, val requestedAt: Duration) {
        val answer = CompletableDeferred<PeerMessage.ChangesAnswer>()
    }

    private val pendingRequests = HashMap<Long, PendingRequest>()
    private var lastNumber = 0L

    /** Requests the changes after [after] from [reader]; returns the reason if there is no usable answer. */
    suspend fun changes(reader: DaemonId, after: StoreRevision): Either<String, RelayedChanges> {
        val pending = PendingRequest(reader, loop.now())
        val number = ++lastNumber
        pendingRequests[number] = pending
        link.send(reader, PeerMessage.ChangesRequest(number, after.value, after.era))
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
        val encoded = answer.changes ?: return "the reader does not know all changes".left()
        val decoded = if (encoded.isEmpty()) emptyList<DocumentChange>().right() else ChangeCodec.decode(encoded)
        return decoded.flatMap { changes ->
            val revision = StoreRevision(answer.revision, answer.era)
            val documentChanges = DocumentChanges(changes.toPersistentList(), revision)
            RelayedChanges(documentChanges, confirmedAt(answer, pending)).right()
        }
    }

    /** The transit time of the messages adds to the age; the time for which the reader held the request does not. */
    private fun confirmedAt(answer: PeerMessage.ChangesAnswer, pending: PendingRequest): Duration? {
        val age = answer.ageMilliseconds ?: return null
        val transitTime = loop.now() - pending.requestedAt - answer.heldMilliseconds.milliseconds
        return loop.now() - transitTime.coerceAtLeast(Duration.ZERO) - age.milliseconds
    }

    private companion object {
        /** Time after which an unanswered request counts as failed and another source is selected. */
        val ANSWER_TIMEOUT = DocumentRelay.MAX_HOLD_TIME + 300.milliseconds
    }
}
