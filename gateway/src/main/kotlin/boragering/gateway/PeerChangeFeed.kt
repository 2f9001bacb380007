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
 * @property provenAt time of this gateway's monotonic clock from which on nothing can be missing; `null` without proof.
 */
internal class RelayedChanges(val changes: DocumentChanges, val provenAt: Duration?)

/** Asks other gateways for changes of documents. Used on the event loop only. */
internal class PeerChangeFeed(private val link: PeerLink, private val loop: GatewayLoop) {
    private class Question(val reader: DaemonId, val askedAt: Duration) {
        val answer = CompletableDeferred<PeerMessage.ChangesAnswer>()
    }

    private val questions = HashMap<Long, Question>()
    private var last = 0L

    /** The changes after [after] that [reader] knows, or why there are none. */
    suspend fun changes(reader: DaemonId, after: StoreRevision): Either<String, RelayedChanges> {
        val question = Question(reader, loop.now())
        val number = ++last
        questions[number] = question
        link.send(reader, PeerMessage.ChangesRequest(number, after.value))
        val answer = withTimeoutOrNull(PATIENCE) { question.answer.await() }
        questions.remove(number)
        return answer?.let { read(it, question) } ?: "no answer within $PATIENCE".left()
    }

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        if (message !is PeerMessage.ChangesAnswer) return
        questions[message.number]?.takeIf { it.reader == from }?.answer?.complete(message)
    }

    private fun read(answer: PeerMessage.ChangesAnswer, question: Question): Either<String, RelayedChanges> {
        val packed = answer.changes ?: return "it does not know all changes".left()
        val unpacked = if (packed.isEmpty()) emptyList<DocumentChange>().right() else ChangeCodec.unpack(packed)
        return unpacked.flatMap { changes ->
            val news = DocumentChanges(changes.toPersistentList(), StoreRevision(answer.revision))
            RelayedChanges(news, provenAt(answer, question)).right()
        }
    }

    /** The time on the way counts as age; the time for which the reader waited does not. */
    private fun provenAt(answer: PeerMessage.ChangesAnswer, question: Question): Duration? {
        val age = answer.ageMilliseconds ?: return null
        val travelled = loop.now() - question.askedAt - answer.heldMilliseconds.milliseconds
        return loop.now() - travelled.coerceAtLeast(Duration.ZERO) - age.milliseconds
    }

    private companion object {
        /** Time after which another source is asked. */
        val PATIENCE = DocumentRelay.HOLD + 300.milliseconds
    }
}
