package boragering.core.catalogue

import arrow.core.getOrElse
import boragering.core.Store
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import boragering.core.membership.Item
import boragering.core.membership.Items

/**
 * Keeps the head small. The snapshot is written before the head omits the changes in it, so that an interruption at any
 * point leaves a head that can be read.
 */
internal class CatalogueCompaction(private val store: Store, private val items: Items) {
    /** Compacts the head when it is over [MAXIMUM_HEAD_BYTES]; a failure leaves it to the next change. */
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

    /** A snapshot that exists already has the same content, since a revision never changes. */
    private suspend fun writeSnapshot(revision: Long, text: String): Boolean =
        store.compareAndSwap(CatalogueKeys.snapshotKey(revision), StoreRevision.NONE, text).isRight()

    private suspend fun replaceHead(loaded: LoadedCatalogue, head: HeadDocument): Boolean =
        store.compareAndSwap(CatalogueKeys.HEAD, loaded.storeRevision, CatalogueKeys.encode(head))
            .fold({ false }, { it is SwapOutcome.Swapped })

    /**
     * Removes all snapshots older than the newest of [keptRevisions] but for those in it. That includes those of interrupted
     * compactions: the head has changed since, so that no compare-and-swap can still make one of them its base.
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
