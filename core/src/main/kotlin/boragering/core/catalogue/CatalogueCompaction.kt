package boragering.core.catalogue

import arrow.core.getOrElse
import boragering.core.Store
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import boragering.core.membership.Item
import boragering.core.membership.Items

/**
 * Compacts the head by moving its changes into a snapshot. The snapshot is written before the changes are removed from
 * the head, so that an interruption at any point leaves a readable head.
 */
internal class CatalogueCompaction(private val store: Store, private val items: Items) {
    /** Compacts the head if it exceeds [MAXIMUM_HEAD_BYTES]. After a failure, the next change tries again. */
    suspend fun compact(loaded: LoadedCatalogue) {
        val head = loaded.head
        if (CatalogueKeys.encode(head).toByteArray().size <= MAXIMUM_HEAD_BYTES) return
        val snapshot = CatalogueKeys.encode(loaded.state.snapshot())
        val compacted = HeadDocument(head.revision, head.revision, emptyList())
        val done = writeSnapshot(head.revision, snapshot) && replaceHead(loaded, compacted)
        if (done) {
            items.acceptDerived(Item(CatalogueKeys.SNAPSHOTS, head.revision, snapshot))
            removeOldSnapshots(setOf(head.revision, head.snapshot))
        }
    }

    /** If the snapshot already exists, it has the same content, since a revision never changes. */
    private suspend fun writeSnapshot(revision: Long, text: String): Boolean =
        store.compareAndSwap(CatalogueKeys.snapshotKey(revision), StoreRevision.NONE, text).isRight()

    private suspend fun replaceHead(loaded: LoadedCatalogue, head: HeadDocument): Boolean =
        store.compareAndSwap(CatalogueKeys.HEAD, loaded.storeRevision, CatalogueKeys.encode(head))
            .fold({ false }, { it is SwapOutcome.Swapped })

    /**
     * Removes all snapshots that are older than the newest of [keptRevisions] and not in that set, including those of
     * interrupted compactions. The head has changed since then, so that no pending compare-and-swap can still refer to
     * one of them.
     */
    private suspend fun removeOldSnapshots(keptRevisions: Set<Long>) {
        store.range(CatalogueKeys.SNAPSHOT_PREFIX).getOrElse { emptyList() }.forEach { stored ->
            val revision = stored.key.removePrefix(CatalogueKeys.SNAPSHOT_PREFIX).toLongOrNull()
            if (revision != null && revision < keptRevisions.max() && revision !in keptRevisions) {
                store.compareAndDelete(stored.key, stored.revision)
            }
        }
    }

    companion object {
        /** Size of the head above which it is compacted; each accepted change sends the head to every daemon. */
        const val MAXIMUM_HEAD_BYTES = 16 * 1024
    }
}
