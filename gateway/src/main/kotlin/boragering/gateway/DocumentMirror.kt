package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Takes the changes of a [DocumentMirror] in their order. */
fun interface DocumentMirrorListener {
    /** [change] took effect. */
    fun onChange(change: DocumentChange)
}

/** Tells which changes of a document matter to nobody. */
fun interface DocumentEquivalence {
    /** Whether [written] says the same as [known], the same document as it was before. */
    fun areEquivalent(known: StoredValue, written: StoredValue): Boolean
}

/**
 * A copy of the store's documents that never goes back: [revision] only grows. Documents that are written anew without
 * a change of their [equivalence] count as unchanged. The last changes are remembered, so that another gateway can be told
 * of them. Used on the event loop only.
 */
class DocumentMirror(private val equivalence: DocumentEquivalence = DocumentEquivalence { _, _ -> false }) {
    private val documents = HashMap<String, StoredValue>()
    private val history = ArrayDeque<DocumentChange>()
    private val listeners = ArrayList<DocumentMirrorListener>()
    private var historyStart = StoreRevision.NONE

    /** The store's revision up to which all changes are known; [StoreRevision.NONE] before the first read. */
    var revision = StoreRevision.NONE
        private set

    /** Calls [listener] with each later change. */
    fun addListener(listener: DocumentMirrorListener) {
        listeners += listener
    }

    /** The document of [key]. */
    operator fun get(key: String): StoredValue? = documents[key]

    /** Takes what was read anew. Documents that are missing from it were removed. */
    fun replaceAll(snapshot: DocumentSnapshot) {
        if (snapshot.revision < revision) return
        if (revision == StoreRevision.NONE) historyStart = snapshot.revision
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
        /** Changes that are remembered. */
        const val MAX_HISTORY = 1_500
    }
}
