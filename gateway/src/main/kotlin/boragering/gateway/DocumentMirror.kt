package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration

/** Receives the changes of a [DocumentMirror] in the order in which they are applied. */
fun interface DocumentMirrorListener {
    /** Called after [change] was applied. */
    fun onChange(change: DocumentChange)
}

/** What a [DocumentMirror] has to know of the contents of documents. */
fun interface DocumentRules {
    /** Whether [written] is equivalent to [known], an earlier version of the same document. */
    fun areEquivalent(known: StoredValue, written: StoredValue): Boolean

    /** Whether the document with [key] is written again by its writer after the store was restored from a backup. */
    fun rewrittenAfterRestore(key: String): Boolean = false
}

/**
 * A copy of the store's documents whose [revision] never decreases. A new version of a document that is equivalent to
 * the known one counts as unchanged. The most recent changes are kept for other gateways.
 *
 * Changes that the store reported without those before them are applied as well, but [revision] stays before the gap
 * until the changes in between have been received, too.
 *
 * When the store is restored from a backup, its documents replace the known ones, except for versions that are known to
 * be outdated and that their writers will write again. These are withheld until the document is written, or until
 * [releaseWithheld]. Used on the event loop only.
 *
 * Documents and changes are limited by [limits]; [limitListener] receives what is dropped because of them.
 *
 * @param now the time of the monotonic clock.
 */
class DocumentMirror(
    now: () -> Duration,
    private val rules: DocumentRules,
    limits: DocumentLimits,
    limitListener: DocumentLimitListener,
) {
    private val documents = LimitedDocuments(limits.documentBytes, limitListener::onContentDropped)
    private val history = ChangeHistory(limits.historyBytes, limitListener::onHistoryCut)
    private val restoredDocuments = RestoredDocuments(now, rules, limits, limitListener)
    private val listeners = ArrayList<DocumentMirrorListener>()

    /** The store revision up to which all changes are applied; [StoreRevision.NONE] before the first read. */
    var revision = StoreRevision.NONE
        private set

    /** The latest store revision that an answer has told. */
    private var latestRevision = StoreRevision.NONE

    private val removalsAhead = RemovalsAhead()

    /** Creates a mirror with the usual limits that drops silently. */
    constructor(
        now: () -> Duration = { Duration.ZERO },
        rules: DocumentRules = DocumentRules { _, _ -> false },
    ) : this(now, rules, DocumentLimits(), DocumentLimitListener.None)

    /** Upper bound for the memory of all documents, in bytes. */
    val documentBytes: Long get() = documents.bytes

    /** Upper bound for the memory of the changes that are kept for other gateways, in bytes. */
    val historyBytes: Long get() = history.bytes

    /** Whether documents have to be read: the store has left out changes, or there is room for dropped contents. */
    val changesMissing: Boolean get() = latestRevision > revision || documents.hasRoomForDropped

    /** Adds a [listener] for later changes. */
    fun addListener(listener: DocumentMirrorListener) {
        listeners += listener
    }

    /** The document with [key]; `null` if there is none. */
    operator fun get(key: String): StoredValue? = documents[key]

    /**
     * Replaces all documents by [snapshot] unless it is older. Documents that it lacks count as removed. Returns
     * whether the documents were replaced.
     */
    fun replaceAll(snapshot: DocumentSnapshot): Boolean {
        if (snapshot.revision < revision) return false
        val restored = restoredBefore(snapshot.revision)
        if (restored || revision == StoreRevision.NONE) history.restart(snapshot.revision)
        val read = snapshot.documents.mapTo(HashSet()) { it.key }
        val removed = documents.keys.filter { it !in read }.map { DocumentChange.Removed(it, snapshot.revision) }
        val written = restoredDocuments.usable(snapshot.documents, restored, documents::get).sortedBy { it.revision }
        (written.map { DocumentChange.Written(it) } + removed).forEach(::apply)
        advance(snapshot.revision)
        return true
    }

    /**
     * Applies [changes] that follow [revision], which advances if they are complete. Changes of another era do not
     * follow it and have no effect.
     */
    fun apply(changes: DocumentChanges) {
        if (revision != StoreRevision.NONE && changes.revision.era != revision.era) return
        changes.changes.filter { it.revision > revision }.forEach {
            restoredDocuments.onChanged(it.key)
            apply(it)
        }
        latestRevision = maxOf(latestRevision, changes.revision)
        if (changes.complete) advance(changes.revision)
    }

    private fun advance(to: StoreRevision) {
        revision = maxOf(revision, to)
        latestRevision = maxOf(latestRevision, revision)
        removalsAhead.forgetUntil(revision)
        history.advance(revision)
    }

    /** Applies the withheld documents whose writers have had enough time to write them again. */
    fun releaseWithheld() = restoredDocuments.take().forEach { apply(DocumentChange.Written(it)) }

    /** The last change of each document after [after]; `null` if the history does not reach back that far. */
    fun changesSince(after: StoreRevision): DocumentChanges? = history.since(after, revision)

    /** Whether the contents of all documents are known, so that other gateways can take them from this one. */
    val contentsKnown: Boolean get() = documents.contentsKnown

    /** All documents. */
    fun all(): PersistentList<StoredValue> = documents.values.toPersistentList()

    private fun apply(change: DocumentChange) {
        if (removalsAhead.outdate(change)) return
        if (change is DocumentChange.Removed && change.revision > revision) removalsAhead.add(change)
        val known = documents[change.key]
        if (change is DocumentChange.Written && known != null && change.document.repeats(known)) {
            documents.put(change.document)
        } else if (documents.restoredBy(change) || rules.hasEffect(change, known)) {
            replace(known, change)
        }
    }

    private fun replace(known: StoredValue?, change: DocumentChange) {
        if (known != null) restoredDocuments.onSuperseded(known)
        val held = documents.apply(change)
        // Other gateways must not learn from this one of a document whose content was dropped.
        if (held == change) history.add(change) else history.skip(change.revision)
        listeners.forEach { it.onChange(held) }
    }
}

/** Whether the store was restored from a backup before it reached [position]. */
internal fun DocumentMirror.restoredBefore(position: StoreRevision): Boolean =
    revision != StoreRevision.NONE && position.era > revision.era

/** Whether this is the content of [known] at a later position, as in a store that was restored from a backup. */
private fun StoredValue.repeats(known: StoredValue): Boolean =
    revision.era > known.revision.era && value == known.value

private fun DocumentRules.hasEffect(change: DocumentChange, known: StoredValue?): Boolean = when (change) {
    is DocumentChange.Written ->
        known == null || known.revision < change.revision && !areEquivalent(known, change.document)
    is DocumentChange.Removed -> known != null && known.revision <= change.revision
}
