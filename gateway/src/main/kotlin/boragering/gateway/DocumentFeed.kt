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

/** Documents as they were read; changes after [revision] may be missing from them, and none before it. */
data class DocumentSnapshot(val documents: PersistentList<StoredValue>, val revision: StoreRevision)

/** Changes in their order, up to [revision]. */
data class DocumentChanges(val changes: PersistentList<DocumentChange>, val revision: StoreRevision)

/** Why changes cannot be read. */
sealed interface FeedFailure {
    /** The store does not keep changes of that age any more; the documents have to be read anew. */
    data object HistoryLost : FeedFailure

    /** The store did not answer. */
    data class Unavailable(val cause: StoreFailure) : FeedFailure
}

/** Port to the documents of the platform's store and their changes. */
interface DocumentFeed {
    /** Reads all documents whose keys begin with [prefix], not older than the call. */
    suspend fun read(prefix: String): Either<StoreFailure, DocumentSnapshot>

    /** Waits up to [wait] until a document whose key begins with [prefix] changes after [after]. */
    suspend fun changes(
        prefix: String,
        after: StoreRevision,
        wait: Duration,
    ): Either<FeedFailure, DocumentChanges>
}
