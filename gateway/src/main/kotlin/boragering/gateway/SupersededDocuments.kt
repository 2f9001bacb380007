package boragering.gateway

import boragering.core.StoredValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The versions of documents that were replaced or removed lately. A store that is restored from a backup shows such
 * versions again. Used on the event loop only.
 *
 * @param now the time of the monotonic clock.
 */
internal class SupersededDocuments(private val now: () -> Duration, private val rules: DocumentRules) {
    private val versions = ArrayDeque<Version>()

    /** Records that [document] was replaced or removed. */
    fun add(document: StoredValue) {
        if (!rules.rewrittenAfterRestore(document.key)) return
        versions.addLast(Version(document, now()))
        while (versions.size > MAX_VERSIONS || now() - versions.first().supersededAt > MAX_AGE) versions.removeFirst()
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
