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
 * The stored catalogue at the time of one read. [state] is [base] with the changes of [head] applied; [storeRevision]
 * is the store revision of the head.
 */
internal data class LoadedCatalogue(
    val base: CatalogueState,
    val state: CatalogueState,
    val head: HeadDocument,
    val storeRevision: StoreRevision,
)

/** Reads the stored catalogue; it reads a snapshot only if the head does not continue the last loaded state. */
internal class CatalogueLoader(private val store: Store) {
    @Volatile
    private var lastState = CatalogueState.EMPTY

    /** Reads the catalogue. A stored document that cannot be decoded is reported as a failure. */
    suspend fun load(): Either<StoreFailure, LoadedCatalogue> {
        var result = loadOnce()
        // Two compactions between reading the head and reading its snapshot delete that snapshot. The next head refers
        // to another one.
        repeat(MAXIMUM_ATTEMPTS - 1) {
            if (result.leftOrNull() == SNAPSHOT_MISSING) result = loadOnce()
        }
        return result.onRight { lastState = it.state }
    }

    /** Returns the state at an earlier [revision], or `null` if the head's changes do not reach back to it. */
    suspend fun stateAt(loaded: LoadedCatalogue, revision: Long): CatalogueState? {
        val head = loaded.head
        val changes = head.changes.filter { it.record.accepted.revision <= revision }
        return if (revision !in head.snapshot..head.revision) {
            null
        } else {
            snapshot(head.snapshot).getOrNull()?.after(head.copy(revision = revision, changes = changes))?.getOrNull()
        }
    }

    /** Reads the snapshot at [revision]; revision 0 is the empty catalogue. */
    suspend fun snapshot(revision: Long): Either<StoreFailure, CatalogueState> =
        if (revision == 0L) {
            CatalogueState.EMPTY.right()
        } else {
            store.get(CatalogueKeys.snapshotKey(revision)).flatMap { stored ->
                stored?.let { CatalogueKeys.decodeSnapshot(it.value).mapLeft(::unreadableDocument) }
                    ?: SNAPSHOT_MISSING.left()
            }
        }

    private suspend fun loadOnce(): Either<StoreFailure, LoadedCatalogue> =
        store.get(CatalogueKeys.HEAD).flatMap { stored ->
            stored?.let { loadFrom(it) } ?: EMPTY.right()
        }

    private suspend fun loadFrom(stored: StoredValue): Either<StoreFailure, LoadedCatalogue> =
        CatalogueKeys.decodeHead(stored.value).mapLeft(::unreadableDocument).flatMap { head ->
            val base = lastState.takeIf { it.revision in head.snapshot..head.revision }?.right()
                ?: snapshot(head.snapshot)
            base.flatMap { baseState ->
                (baseState.after(head)?.mapLeft(::unreadableDocument) ?: SNAPSHOT_MISSING.left())
                    .map { LoadedCatalogue(baseState, it, head, stored.revision) }
            }
        }

    private fun unreadableDocument(reason: String): StoreFailure = StoreFailure.NotApplied("stored catalogue: $reason")

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        val SNAPSHOT_MISSING: StoreFailure = StoreFailure.NotApplied("the snapshot that the head refers to is missing")
        val EMPTY = LoadedCatalogue(
            base = CatalogueState.EMPTY,
            state = CatalogueState.EMPTY,
            head = HeadDocument(0, 0, emptyList()),
            storeRevision = StoreRevision.NONE,
        )
    }
}
