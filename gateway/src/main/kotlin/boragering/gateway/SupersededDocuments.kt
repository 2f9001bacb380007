package boragering.gateway

import boragering.core.StoredValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The versions of documents that were replaced or removed lately. A store that is restored from a backup shows such
 * versions again. Used on the event loop only.
 *
 * @param now the time of the monotonic clock.
 * @param maxBytes limit for the memory of the versions, in bytes; beyond it the oldest are forgotten.
 * @param onCut called when versions were forgotten because of [maxBytes].
 */
internal class SupersededDocuments(
    private val now: () -> Duration,
    private val rules: DocumentRules,
    private val maxBytes: Long = Long.MAX_VALUE,
    private val onCut: () -> Unit = {},
) {
    private val versions = ArrayDeque<Version>()
    private var bytes = 0L

    /** Records that [document] was replaced or removed. */
    fun add(document: StoredValue) {
        if (!rules.rewrittenAfterRestore(document.key)) return
        versions.addLast(Version(document, now()))
        bytes += document.memoryBytes
        while (versions.size > MAX_VERSIONS || now() - versions.first().supersededAt > MAX_AGE) removeOldest()
        if (bytes <= maxBytes) return
        while (bytes > maxBytes) removeOldest()
        onCut()
    }

    private fun removeOldest() {
        bytes -= versions.removeFirst().document.memoryBytes
    }

    /** Whether [document] is equivalent to a version of the same document that was superseded. */
    operator fun contains(document: StoredValue): Boolean = versions.any {
        it.document.key == document.key && rules.areEquivalent(it.document, document)
    }

    private class Version(val document: StoredValue, val supersededAt: Duration)

    private companion object {
        const val MAX_VERSIONS = 4_000

        /** Age of the oldest backup from which a store is expected to be restored. */
        val MAX_AGE = 5.minutes
    }
}
