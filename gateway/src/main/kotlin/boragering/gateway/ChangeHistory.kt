package boragering.gateway

import boragering.core.StoreRevision
import kotlinx.collections.immutable.toPersistentList

/**
 * The latest change of each document, kept for other gateways. Earlier versions are dropped when a later one is part of
 * the complete state, so that a document that changes often is held once. Used on the event loop only.
 *
 * @param maxBytes limit for what is held, in bytes; beyond it the oldest changes are dropped, so that gateways that
 *   lack them have to read the store.
 * @param onCut called when changes were dropped because of [maxBytes], with the revision at which the history begins.
 */
internal class ChangeHistory(private val maxBytes: Long, private val onCut: (StoreRevision) -> Unit = {}) {
    /** The latest change of each document up to the revision of the last [advance]. */
    private val latest = LinkedHashMap<String, DocumentChange>()

    /** The changes after that revision, some of which may be missing. */
    private val ahead = ArrayDeque<DocumentChange>()
    private var start = StoreRevision.NONE

    /** Upper bound for the memory of the changes, in bytes. */
    var bytes = 0L
        private set

    /** Begins a history of the changes after [at]; earlier changes are no longer known. */
    fun restart(at: StoreRevision) {
        latest.clear()
        ahead.clear()
        bytes = 0
        start = at
    }

    /** Adds [change]; a read of all documents can add changes that are older than those before it. */
    fun add(change: DocumentChange) {
        if (change.revision <= start) return
        ahead.addLast(change)
        bytes += change.memoryBytes
        val cutBefore = start
        while (bytes > maxBytes) removeOldest()
        if (start > cutBefore) onCut(start)
        while (latest.size + ahead.size > MAX_CHANGES) removeOldest()
    }

    /** Records that a change at [revision] is not held, so that gateways without it have to read the store. */
    fun skip(revision: StoreRevision) {
        start = maxOf(start, revision)
    }

    /** Records that all changes up to [revision] have been added. */
    fun advance(revision: StoreRevision) {
        val complete = ahead.filter { it.revision <= revision }
        if (complete.isEmpty()) return
        ahead.removeAll { it.revision <= revision }
        complete.sortedBy { it.revision }.forEach(::supersede)
    }

    /** The last change of each document from [after] to [end]; `null` if the history does not reach back that far. */
    fun since(after: StoreRevision, end: StoreRevision): DocumentChanges? {
        if (after < start || after.era > end.era) return null
        val changes = latest.values.filter { it.revision > after }.sortedBy { it.revision }
        return DocumentChanges(changes.toPersistentList(), end)
    }

    private fun supersede(change: DocumentChange) {
        latest.remove(change.key)?.let { bytes -= it.memoryBytes }
        latest[change.key] = change
    }

    private fun removeOldest() {
        val oldest = latest.keys.firstOrNull()?.let(latest::remove) ?: ahead.removeFirst()
        bytes -= oldest.memoryBytes
        skip(oldest.revision)
    }

    private companion object {
        const val MAX_CHANGES = 1_500
    }
}
