package boragering.gateway

import boragering.core.StoreRevision
import kotlinx.collections.immutable.toPersistentList

/** The most recent changes of documents, kept for other gateways. Used on the event loop only. */
internal class ChangeHistory {
    private val changes = ArrayDeque<DocumentChange>()
    private var start = StoreRevision.NONE

    /** Begins a history of the changes after [at]; earlier changes are no longer known. */
    fun restart(at: StoreRevision) {
        changes.clear()
        start = at
    }

    /** Adds [change]; a read of all documents can add changes that are older than those before it. */
    fun add(change: DocumentChange) {
        if (change.revision <= start) return
        changes.addLast(change)
        if (changes.size > MAX_CHANGES) start = maxOf(start, changes.removeFirst().revision)
    }

    /** The last change of each document from [after] to [end]; `null` if the history does not reach back that far. */
    fun since(after: StoreRevision, end: StoreRevision): DocumentChanges? {
        if (after < start || after.era > end.era) return null
        val latest = LinkedHashMap<String, DocumentChange>()
        changes.filter { it.revision > after && it.revision <= end }.sortedByDescending { it.revision }
            .forEach { latest.putIfAbsent(it.key, it) }
        return DocumentChanges(latest.values.reversed().toPersistentList(), end)
    }

    private companion object {
        const val MAX_CHANGES = 1_500
    }
}
