package boragering.gateway

import boragering.core.StoreRevision

/**
 * The removals that were applied although changes before them are missing, so that an earlier version of a removed
 * document that arrives later is recognised as outdated. Used on the event loop only.
 */
internal class RemovalsAhead {
    private val revisions = LinkedHashMap<String, StoreRevision>()

    /** Records [removal]; beyond [MAX_REMOVALS] the oldest ones are forgotten. */
    fun add(removal: DocumentChange.Removed) {
        revisions[removal.key] = removal.revision
        while (revisions.size > MAX_REMOVALS) revisions.remove(revisions.keys.first())
    }

    /** Whether the document of [change] was removed later than that. */
    fun outdate(change: DocumentChange): Boolean = revisions[change.key].let { it != null && it > change.revision }

    /** Forgets the removals until [revision], since all changes until then have been applied. */
    fun forgetUntil(revision: StoreRevision) {
        revisions.values.removeIf { it <= revision }
    }

    private companion object {
        const val MAX_REMOVALS = 1_500
    }
}
