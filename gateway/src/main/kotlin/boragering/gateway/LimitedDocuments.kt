package boragering.gateway

import boragering.core.StoredValue

/**
 * Documents by key, whose memory is limited to [maxBytes]. A document beyond that is held without its content, as one
 * that cannot be read, and passed to [onContentDropped]. Used on the event loop only.
 */
internal class LimitedDocuments(
    private val maxBytes: Long,
    private val onContentDropped: (StoredValue) -> Unit,
) {
    private val documents = HashMap<String, StoredValue>()

    /** Documents without content by key, with the memory that they would use with it, in bytes. */
    private val withoutContent = HashMap<String, Long>()

    /** Upper bound for the memory of the documents, in bytes. */
    var bytes = 0L
        private set

    /** Whether all documents have their contents. */
    val contentsKnown: Boolean get() = withoutContent.isEmpty()

    /** Whether there is room again for a content that was dropped. */
    val hasRoomForDropped: Boolean get() = withoutContent.values.any { bytes + it <= maxBytes }

    val keys: Set<String> get() = documents.keys

    val values: Collection<StoredValue> get() = documents.values

    operator fun get(key: String): StoredValue? = documents[key]

    /** Whether [change] has a content that was dropped, while there is room again. */
    fun restoredBy(change: DocumentChange): Boolean =
        change.key in withoutContent && documents[change.key]?.revision == change.revision && hasRoomForDropped

    /** Applies [change]. Returns it as it was applied. */
    fun apply(change: DocumentChange): DocumentChange {
        if (change is DocumentChange.Written) return DocumentChange.Written(put(change.document))
        remove(change.key)
        return change
    }

    /** Puts [document] in place of the one with its key. Returns it as it is held. */
    fun put(document: StoredValue): StoredValue {
        remove(document.key)
        val fits = bytes + document.memoryBytes <= maxBytes
        val held = if (fits) document else document.copy(value = "")
        documents[document.key] = held
        bytes += held.memoryBytes
        if (!fits) dropContent(document)
        return held
    }

    private fun dropContent(document: StoredValue) {
        withoutContent[document.key] = document.memoryBytes
        onContentDropped(document)
    }

    private fun remove(key: String) {
        withoutContent.remove(key)
        bytes -= documents.remove(key)?.memoryBytes ?: 0
    }
}
