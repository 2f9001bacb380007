package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Takes the changes of a [DocumentMirror] in their order. */
fun interface DocumentMirrorListener {
    /** [change] took effect. */
    fun changed(change: DocumentChange)
}

/** Tells which changes of a document matter to nobody. */
fun interface DocumentEquivalence {
    /** Whether [written] says the same as [known], the same document as it was before. */
    fun same(known: StoredValue, written: StoredValue): Boolean
}

/**
 * A copy of the store's documents that never goes back: [revision] only grows. Documents that are written anew without
 * a change of their [meaning] count as unchanged. The last changes are remembered, so that another gateway can be told
 * of them. Used on the event loop only.
 */
class DocumentMirror(private val meaning: DocumentEquivalence = DocumentEquivalence { _, _ -> false }) {
    private val documents = HashMap<String, StoredValue>()
    private val history = ArrayDeque<DocumentChange>()
    private val listeners = ArrayList<DocumentMirrorListener>()
    private var oldestKnown = StoreRevision.NONE

    /** The store's revision up to which all changes are known; [StoreRevision.NONE] before the first read. */
    var revision = StoreRevision.NONE
        private set

    /** Calls [listener] with each later change. */
    fun listen(listener: DocumentMirrorListener) {
        listeners += listener
    }

    /** The document of [key]. */
    operator fun get(key: String): StoredValue? = documents[key]

    /** Takes what was read anew. Documents that are missing from it were removed. */
    fun replace(snapshot: DocumentSnapshot) {
        if (snapshot.revision < revision) return
        if (revision == StoreRevision.NONE) oldestKnown = snapshot.revision
        val read = snapshot.documents.mapTo(HashSet()) { it.key }
        val written = snapshot.documents.sortedBy { it.revision }.map { DocumentChange.Written(it) }
        val removed = documents.keys.filter { it !in read }.map { DocumentChange.Removed(it, snapshot.revision) }
        (written + removed).forEach(::apply)
        revision = snapshot.revision
    }

    /** Takes changes that follow [revision]. */
    fun apply(changes: DocumentChanges) {
        changes.changes.forEach(::apply)
        revision = maxOf(revision, changes.revision)
    }

    /** The changes after [after], the last one of each document; `null` when they are not known any more. */
    fun since(after: StoreRevision): DocumentChanges? {
        if (after < oldestKnown) return null
        val changes = LinkedHashMap<String, DocumentChange>()
        history.asReversed().asSequence().takeWhile { it.revision > after }.forEach { changes.putIfAbsent(it.key, it) }
        return DocumentChanges(changes.values.reversed().toPersistentList(), revision)
    }

    /** All documents. */
    fun all(): PersistentList<StoredValue> = documents.values.toPersistentList()

    private fun apply(change: DocumentChange) {
        if (!effective(change)) return
        when (change) {
            is DocumentChange.Written -> documents[change.key] = change.document
            is DocumentChange.Removed -> documents.remove(change.key)
        }
        remember(change)
        listeners.forEach { it.changed(change) }
    }

    private fun effective(change: DocumentChange): Boolean {
        val known = documents[change.key]
        return when (change) {
            is DocumentChange.Written ->
                known == null || known.revision < change.revision && !meaning.same(known, change.document)
            is DocumentChange.Removed -> known != null && known.revision <= change.revision
        }
    }

    private fun remember(change: DocumentChange) {
        if (change.revision <= oldestKnown) return
        history.addLast(change)
        if (history.size > REMEMBERED) oldestKnown = history.removeFirst().revision
    }

    private companion object {
        /** Changes that are remembered. */
        const val REMEMBERED = 1_500
    }
}
