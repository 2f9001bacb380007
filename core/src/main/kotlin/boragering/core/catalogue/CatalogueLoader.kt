package boragering.core.catalogue

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue

/**
 * The stored catalogue as one read found it: [base] with the changes of [head] is [state]. [storeRevision] is the
 * head's last modification.
 */
internal data class LoadedCatalogue(
    val base: CatalogueState,
    val state: CatalogueState,
    val head: HeadDocument,
    val storeRevision: StoreRevision,
)

/** Reads the stored catalogue, reading a snapshot only when the head does not continue a state that is known. */
internal class CatalogueLoader(private val store: Store) {
    @Volatile
    private var lastState = CatalogueState.EMPTY

    /** Reads the catalogue; a stored document that cannot be read is a failure too. */
    suspend fun load(): Either<StoreFailure, LoadedCatalogue> {
        var result = loadOnce()
        // Two compactions between the reads of head and snapshot remove the snapshot; the next head names another one.
        repeat(MAXIMUM_ATTEMPTS - 1) {
            if (result.leftOrNull() == SNAPSHOT_MISSING) result = loadOnce()
        }
        return result.onRight { lastState = it.state }
    }

    /** The state at an stateAt [revision], if the head's changes still reach back to it. */
    suspend fun stateAt(loaded: LoadedCatalogue, revision: Long): CatalogueState? {
        val head = loaded.head
        val changes = head.changes.filter { it.record.accepted.revision <= revision }
        return if (revision !in head.snapshot..head.revision) {
            null
        } else {
            snapshot(head.snapshot).getOrNull()?.after(head.copy(revision = revision, changes = changes))?.getOrNull()
        }
    }

    /** The snapshot at [revision]; the one at revision 0 is the empty catalogue. */
    suspend fun snapshot(revision: Long): Either<StoreFailure, CatalogueState> =
        if (revision == 0L) {
            CatalogueState.EMPTY.right()
        } else {
            store.get(CatalogueKeys.snapshotKey(revision)).flatMap { stored ->
                stored?.let { CatalogueKeys.decodeSnapshot(it.value).mapLeft(::unreadableDocument) } ?: SNAPSHOT_MISSING.left()
            }
        }

    private suspend fun loadOnce(): Either<StoreFailure, LoadedCatalogue> =
        store.get(CatalogueKeys.HEAD).flatMap { stored ->
            stored?.let { loadFrom(it) } ?: EMPTY.right()
        }

    private suspend fun loadFrom(stored: StoredValue): Either<StoreFailure, LoadedCatalogue> =
        CatalogueKeys.decodeHead(stored.value).mapLeft(::unreadableDocument).flatMap { head ->
            val base = lastState.takeIf { it.revision in head.snapshot..head.revision }?.right() ?: snapshot(head.snapshot)
            base.flatMap { baseState ->
                (baseState.after(head)?.mapLeft(::unreadableDocument) ?: SNAPSHOT_MISSING.left())
                    .map { LoadedCatalogue(baseState, it, head, stored.revision) }
            }
        }

    private fun unreadableDocument(reason: String): StoreFailure = StoreFailure.NotApplied("stored catalogue: $reason")

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        val SNAPSHOT_MISSING: StoreFailure = StoreFailure.NotApplied("the snapshot that the head needs is missing")
        val EMPTY = LoadedCatalogue(
            base = CatalogueState.EMPTY,
            state = CatalogueState.EMPTY,
            head = HeadDocument(0, 0, emptyList()),
            storeRevision = StoreRevision.NONE,
        )
    }
}
