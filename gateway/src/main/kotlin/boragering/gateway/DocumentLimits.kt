package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue

/**
 * Limits of a [DocumentMirror], which keep it from exhausting the heap however much is written to the store.
 *
 * @property documentBytes memory of all documents, in bytes. The content of a document beyond it counts as unreadable.
 * @property historyBytes memory of the changes that are kept for other gateways, in bytes. Gateways that lack older
 *   ones have to read the store.
 * @property supersededBytes memory of the versions by which documents of a restored store are recognised as outdated,
 *   in bytes. Versions beyond it come back into force until they are written again.
 */
data class DocumentLimits(
    val documentBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE_FOR_DOCUMENTS,
    val historyBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE_FOR_HISTORY,
    val supersededBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE_FOR_SUPERSEDED,
) {
    private companion object {
        /** Bodies have a third of the heap, and a read holds all documents beside those that it replaces. */
        const val HEAP_SHARE_FOR_DOCUMENTS = 4

        /** The history shares most of its texts with the documents. */
        const val HEAP_SHARE_FOR_HISTORY = 12

        /** Room for some thousand entries of usual length. */
        const val HEAP_SHARE_FOR_SUPERSEDED = 24
    }
}

/** Receives what a [DocumentMirror] drops because of its [DocumentLimits]. */
interface DocumentLimitListener {
    /** Called when older changes were dropped, so that the history begins at [start]. */
    fun onHistoryCut(start: StoreRevision) = Unit

    /** Called when older versions of documents were forgotten, so that a restored store may bring them back. */
    fun onSupersededCut() = Unit

    /** Called when the content of [document] was dropped. */
    fun onContentDropped(document: StoredValue) = Unit

    /** Ignores all events. */
    object None : DocumentLimitListener
}
