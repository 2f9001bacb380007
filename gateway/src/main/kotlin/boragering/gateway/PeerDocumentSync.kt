package boragering.gateway

import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.core.membership.StoreDocument
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random
import kotlin.time.Duration

/** The reachability of the store, as observed by this gateway and reported by others. */
interface StoreStatus {
    /** Whether the store answers this gateway, as far as it knows. */
    val storeReachable: Boolean

    /** Called when another gateway reports that the store answers it. */
    fun onReachableElsewhere()

    /** Called when it becomes known that the store was restored from a backup before it reached [revision]. */
    fun onRestored(revision: StoreRevision)
}

/**
 * Exchanges documents with other gateways while the store does not answer. A gateway requests changes from one peer at
 * a time (the planner from several), and only while it needs them, so that the messages do not grow with the number of
 * gateways. Used on the event loop only.
 */
class PeerDocumentSync(
    private val mirror: DocumentMirror,
    private val peers: Peers,
    private val link: PeerLink,
    private val random: Random,
    private val log: DecisionLog,
    private val store: StoreStatus,
) {
    private val outageDetector = StoreOutageDetector()

    private val others: List<DaemonId> get() = peers.live.map { it.daemon }.filter { it != peers.self.daemon }

    /** Requests the changes after this gateway's revision from [count] random live peers. */
    fun requestChanges(count: Int) {
        val request = PeerMessage.DocumentRequest(mirror.revision.value, mirror.revision.era)
        others.shuffled(random).take(count).forEach { link.send(it, request) }
    }

    /** Whether at [now] the store answers neither this gateway nor any other. */
    fun storeIsDown(now: Duration): Boolean = !store.storeReachable && outageDetector.isCertain(others, now)

    /** Handles a message of another gateway; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage, now: Duration) {
        when (message) {
            is PeerMessage.DocumentRequest -> answer(from, StoreRevision(message.after, message.era))
            is PeerMessage.Documents -> {
                outageDetector.record(from, message.storeAnswers, now)
                if (message.storeAnswers) store.onReachableElsewhere()
                applyDocuments(from, message)
            }
            else -> Unit
        }
    }

    private fun answer(from: DaemonId, after: StoreRevision) {
        val changes = if (after == StoreRevision.NONE) null else mirror.changesSince(after)
        val message = when {
            changes != null -> changedDocuments(after, changes)
            mirror.contentsKnown -> allDocuments()
            else -> noDocuments()
        }
        link.send(from, message)
    }

    /** Tells only whether the store answers, because a document without its content must not reach other gateways. */
    private fun noDocuments(): PeerMessage.Documents =
        PeerMessage.Documents(
            after = 0,
            revision = StoreRevision.NONE.value,
            written = emptyList(),
            removed = emptyMap(),
            storeAnswers = store.storeReachable,
        )

    private fun allDocuments(): PeerMessage.Documents =
        PeerMessage.Documents(
            after = 0,
            revision = mirror.revision.value,
            written = mirror.all().map { it.toDocument() },
            removed = emptyMap(),
            storeAnswers = store.storeReachable,
            era = mirror.revision.era,
        )

    private fun changedDocuments(after: StoreRevision, changes: DocumentChanges): PeerMessage.Documents {
        val written = changes.changes.filterIsInstance<DocumentChange.Written>().map { it.document.toDocument() }
        val removed = changes.changes.filterIsInstance<DocumentChange.Removed>()
        return PeerMessage.Documents(
            after = after.value,
            revision = changes.revision.value,
            written = written,
            removed = removed.associate { it.key to it.revision.value },
            storeAnswers = store.storeReachable,
            era = changes.revision.era,
        )
    }

    private fun applyDocuments(from: DaemonId, message: PeerMessage.Documents) {
        val revision = StoreRevision(message.revision, message.era)
        if (revision <= mirror.revision) return
        val documents = message.written.map { StoredValue(it.key, it.content, StoreRevision(it.revision, it.era)) }
        if (message.after == 0L) {
            if (mirror.restoredBefore(revision)) store.onRestored(revision)
            mirror.replaceAll(DocumentSnapshot(documents.toPersistentList(), revision))
        } else if (StoreRevision(message.after, message.era) <= mirror.revision) {
            mirror.apply(changes(message, documents))
        }
        log.event("documents-from-peer", "peer" to from, "revision" to revision, "documents" to documents.size)
    }

    private fun changes(message: PeerMessage.Documents, documents: List<StoredValue>): DocumentChanges {
        val written = documents.map { DocumentChange.Written(it) }
        val removed =
            message.removed.map { (key, at) -> DocumentChange.Removed(key, StoreRevision(at, message.era)) }
        val changes = (written + removed).sortedBy { it.revision }
        return DocumentChanges(changes.toPersistentList(), StoreRevision(message.revision, message.era))
    }

    private fun StoredValue.toDocument(): StoreDocument = StoreDocument(key, value, revision.value, revision.era)
}
