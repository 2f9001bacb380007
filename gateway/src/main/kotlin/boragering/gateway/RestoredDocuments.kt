package boragering.gateway

import boragering.core.StoredValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Withholds documents of a store that was restored from a backup if they are known to be outdated and their writers
 * will write them again: until that happens, or until [take] if it does not happen in time. Used on the event loop
 * only.
 *
 * @param now the time of the monotonic clock.
 */
internal class RestoredDocuments(
    private val now: () -> Duration,
    private val rules: DocumentRules,
    limits: DocumentLimits,
    limitListener: DocumentLimitListener,
) {
    private val superseded =
        SupersededDocuments(now, rules, limits.supersededBytes, limitListener::onSupersededCut)
    private val withheld = HashMap<String, Withheld>()

    /** Records that [document] was replaced or removed. */
    fun onSuperseded(document: StoredValue) = superseded.add(document)

    /**
     * Returns the [documents] of the store that are not withheld. [restored] tells whether the store was just restored,
     * and [known] returns the version in use of the document with a key.
     */
    fun usable(
        documents: Collection<StoredValue>,
        restored: Boolean,
        known: (String) -> StoredValue?,
    ): List<StoredValue> {
        if (restored) withheld.clear()
        withheld.keys.retainAll(documents.mapTo(HashSet()) { it.key })
        return documents.filterNot { if (restored) withhold(it, known(it.key)) else isWithheld(it) }
    }

    /** Records that the document with [key] was written again or removed. */
    fun onChanged(key: String) {
        withheld.remove(key)
    }

    /** Returns and forgets the documents that have been withheld for [WITHHOLD_TIME]. */
    fun take(): List<StoredValue> {
        val due = withheld.values.filter { now() - it.since >= WITHHOLD_TIME }.map { it.document }
        due.forEach { withheld.remove(it.key) }
        return due
    }

    private fun withhold(document: StoredValue, known: StoredValue?): Boolean {
        if (known != null && rules.areEquivalent(known, document)) return false
        return (document in superseded).also { if (it) withheld[document.key] = Withheld(document, now()) }
    }

    /** Whether [document] is withheld, and was not written again since. */
    private fun isWithheld(document: StoredValue): Boolean =
        withheld[document.key]?.document?.revision == document.revision

    private class Withheld(val document: StoredValue, val since: Duration)

    companion object {
        /** Time within which writers write their documents again after the store was restored. */
        val WITHHOLD_TIME = 4_500.milliseconds
    }
}
