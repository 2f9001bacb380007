package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Receives the changes of a [DocumentMirror] in the order in which they are applied. */
fun interface DocumentMirrorListener {
    /** Called after [change] was applied. */
    fun onChange(change: DocumentChange)
}

/** Decides which changes of a document are irrelevant. */
fun interface DocumentEquivalence {
    /** Whether [written] is equivalent to [known], an earlier version of the same document. */
    fun areEquivalent(known: StoredValue, written: StoredValue): Boolean
}

/**
 * A copy of the store's documents whose [revision] never decreases. A new version of a document that is equivalent to
 * the known one counts as unchanged. The most recent changes are kept for other gateways. Used on the event loop only.
 */
class DocumentMirror(private val equivalence: DocumentEquivalence = DocumentEquivalence { _, _ -> false }) {
    private val documents = HashMap<String, StoredValue>()
    private val history = ArrayDeque<DocumentChange>()
    private val listeners = ArrayList<DocumentMirrorListener>()
    private var historyStart = StoreRevision.NONE

    /** The store revision up to which all changes are applied; [StoreRevision.NONE] before the first read. */
    var revision = StoreRevision.NONE
        private set

    /** Adds a [listener] for later changes. */
    fun addListener(listener: DocumentMirrorListener) {
        listeners += listener
    }

    /** The document with [key]; `null` if there is none. */
    operator fun get(key: String): StoredValue? = documents[key]

    /** Replaces all documents by [snapshot] unless it is older. Documents that it lacks count as removed. */
    fun replaceAll(snapshot: DocumentSnapshot) {
        if (snapshot.revision < revision) return
        if (revision == StoreRevision.NONE) historyStart = snapshot.revision
        val read = snapshot.documents.mapTo(HashSet()) { it.key }
        val written = snapshot.documents.sortedBy { it.revision }.map { DocumentChange.Written(it) }
        val removed = documents.keys.filter { it !in read }.map { DocumentChange.Removed(it, snapshot.revision) }
        (written + removed).forEach(::apply)
        revision = snapshot.revision
    }

    /** Applies [changes] that follow [revision]. */
    fun apply(changes: DocumentChanges) {
        changes.changes.forEach(::apply)
        revision = maxOf(revision, changes.revision)
    }

    /** The last change of each document after [after]; `null` if the history does not reach back that far. */
    fun changesSince(after: StoreRevision): DocumentChanges? {
        if (after < historyStart) return null
        val changes = LinkedHashMap<String, DocumentChange>()
        history.asReversed().asSequence().takeWhile { it.revision > after }.forEach { changes.putIfAbsent(it.key, it) }
        return DocumentChanges(changes.values.reversed().toPersistentList(), revision)
    }

    /** All documents. */
    fun all(): PersistentList<StoredValue> = documents.values.toPersistentList()

    private fun apply(change: DocumentChange) {
        if (!hasEffect(change)) return
        when (change) {
            is DocumentChange.Written -> documents[change.key] = change.document
            is DocumentChange.Removed -> documents.remove(change.key)
        }
        addToHistory(change)
        listeners.forEach { it.onChange(change) }
    }

    private fun hasEffect(change: DocumentChange): Boolean {
        val known = documents[change.key]
        return when (change) {
            is DocumentChange.Written ->
                known == null || known.revision < change.revision && !equivalence.areEquivalent(known, change.document)
            is DocumentChange.Removed -> known != null && known.revision <= change.revision
        }
    }

    private fun addToHistory(change: DocumentChange) {
        if (change.revision <= historyStart) return
        history.addLast(change)
        if (history.size > MAX_HISTORY) historyStart = history.removeFirst().revision
    }

    private companion object {
        /** Number of changes that the history keeps. */
        const val MAX_HISTORY = 1_500
    }
}
