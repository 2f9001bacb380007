package boragering.gateway

import arrow.core.Either
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** A change of one document of the store. */
sealed interface DocumentChange {
    /** The key of the document. */
    val key: String

    /** The store's revision of the change. */
    val revision: StoreRevision

    /** The document was written. */
    data class Written(val document: StoredValue) : DocumentChange {
        override val key: String get() = document.key
        override val revision: StoreRevision get() = document.revision
    }

    /** The document was removed. */
    data class Removed(override val key: String, override val revision: StoreRevision) : DocumentChange
}

/** All documents, including every change up to [revision]; later changes may be missing. */
data class DocumentSnapshot(val documents: PersistentList<StoredValue>, val revision: StoreRevision)

/**
 * Changes up to [revision], in the order of their revisions.
 *
 * @property complete whether each revision up to [revision] is accounted for. Otherwise the store may have left out
 *   changes, as when it loses its history while a call waits.
 */
data class DocumentChanges(
    val changes: PersistentList<DocumentChange>,
    val revision: StoreRevision,
    val complete: Boolean = true,
)

/** The reason why changes could not be read. */
sealed interface FeedFailure {
    /** The store no longer keeps changes that old, so that all documents have to be read again. */
    data object HistoryLost : FeedFailure

    /** The store answered in a way that cannot be read, so that all documents have to be read again. */
    data class Unreadable(val reason: String) : FeedFailure

    /** The store did not answer. */
    data class Unavailable(val cause: StoreFailure) : FeedFailure
}

/** Port to the documents of the platform's store and their changes. */
interface DocumentFeed {
    /** Reads all documents whose keys begin with [prefix], as of the time of the call or later. */
    suspend fun read(prefix: String): Either<StoreFailure, DocumentSnapshot>

    /** Returns changes after [after] of documents whose keys begin with [prefix]; waits up to [wait] for the first. */
    suspend fun changes(
        prefix: String,
        after: StoreRevision,
        wait: Duration,
    ): Either<FeedFailure, DocumentChanges>
}
