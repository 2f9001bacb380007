package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Takes the changes of a [Mirror] in their order. */
fun interface MirrorListener {
    /** [change] took effect. */
    fun changed(change: DocumentChange)
}

/**
 * A copy of the store's documents that never goes back: [revision] only grows. Removed keys are remembered for a while,
 * so that another gateway can be told what has changed. Used on the event loop only.
 */
class Mirror {
    private val documents = HashMap<String, StoredValue>()
    private val removed = LinkedHashMap<String, StoreRevision>()
    private val listeners = ArrayList<MirrorListener>()
    private var oldestKnown = StoreRevision.NONE

    /** The store's revision up to which all changes are known; [StoreRevision.NONE] before the first read. */
    var revision = StoreRevision.NONE
        private set

    /** Calls [listener] with each later change. */
    fun listen(listener: MirrorListener) {
        listeners += listener
    }

    /** The document of [key]. */
    operator fun get(key: String): StoredValue? = documents[key]

    /** Takes what was read anew. Documents that are missing from it were removed. */
    fun replace(snapshot: DocumentSnapshot) {
        if (snapshot.revision < revision) return
        val read = snapshot.documents.associateBy { it.key }
        documents.keys.filter { it !in read }.forEach { apply(DocumentChange.Removed(it, snapshot.revision)) }
        read.values.forEach { apply(DocumentChange.Written(it)) }
        removed.clear()
        oldestKnown = snapshot.revision
        revision = snapshot.revision
    }

    /** Takes changes that follow [revision]. */
    fun apply(changes: DocumentChanges) {
        changes.changes.forEach(::apply)
        revision = maxOf(revision, changes.revision)
    }

    /** The changes after [after]; `null` when they are not known any more. */
    fun since(after: StoreRevision): DocumentChanges? {
        if (after < oldestKnown) return null
        val written = documents.values.filter { it.revision > after }.map { DocumentChange.Written(it) }
        val ended = removed.filterValues { it > after }.map { (key, at) -> DocumentChange.Removed(key, at) }
        return DocumentChanges((written + ended).sortedBy { it.revision }.toPersistentList(), revision)
    }

    /** All documents. */
    fun all(): PersistentList<StoredValue> = documents.values.toPersistentList()

    private fun apply(change: DocumentChange) {
        val known = documents[change.key]
        val effective = when (change) {
            is DocumentChange.Written -> known == null || known.revision < change.revision
            is DocumentChange.Removed -> known != null && known.revision <= change.revision
        }
        if (!effective) return
        when (change) {
            is DocumentChange.Written -> {
                documents[change.key] = change.document
                removed.remove(change.key)
            }
            is DocumentChange.Removed -> {
                documents.remove(change.key)
                remember(change)
            }
        }
        listeners.forEach { it.changed(change) }
    }

    private fun remember(change: DocumentChange.Removed) {
        removed.remove(change.key)
        removed[change.key] = change.revision
        if (removed.size > REMEMBERED) {
            val oldest = removed.entries.first()
            oldestKnown = maxOf(oldestKnown, oldest.value)
            removed.remove(oldest.key)
        }
    }

    private companion object {
        /** Removed keys that are remembered. */
        const val REMEMBERED = 1_000
    }
}
