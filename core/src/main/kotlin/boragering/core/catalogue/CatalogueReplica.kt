package boragering.core.catalogue

import boragering.core.Store
import boragering.core.StoredValue
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.membership.Peers
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.random.Random

/**
 * The catalogue in force on this daemon. The replica accepts heads and snapshots from the store and from peers in any
 * order and any number of times; the revision in force never decreases.
 */
class CatalogueReplica(
    private val store: Store,
    private val items: Items,
    private val peers: Peers,
    private val timeline: Timeline,
    private val random: Random,
) : CatalogueSource {
    private val lock = Any()
    private val snapshotRequestChannel = Channel<Unit>(Channel.CONFLATED)
    private val listeners = ArrayList<(Catalogue) -> Unit>()

    /** The newest head that could not be applied because its snapshot is missing. */
    private var headAwaitingSnapshot: HeadDocument? = null

    @Volatile
    private var state: CatalogueState? = null

    internal val snapshotRequests: ReceiveChannel<Unit> get() = snapshotRequestChannel
    internal val needsSnapshot: Boolean get() = synchronized(lock) { headAwaitingSnapshot != null }

    init {
        items.listen(CatalogueKeys.SNAPSHOTS, ::accept)
        items.listen(CatalogueKeys.HEAD, ::accept)
    }

    override fun current(): Catalogue? = state?.catalogue

    /**
     * Calls [listener] at once with the current revision, if any, and then with each new revision in order. The
     * listener runs while a lock is held and must neither block nor call this replica.
     */
    fun listen(listener: (Catalogue) -> Unit): Unit = synchronized(lock) {
        listeners += listener
        state?.let { listener(it.catalogue) }
    }

    /** Follows the store until it is cancelled. Store failures reduce the polling rate and never end the loop. */
    suspend fun run() = CatalogueFollower(store, peers, random, this).run()

    /** Accepts a head that was read from the store and passes it to the peers. */
    internal fun accept(stored: StoredValue) {
        CatalogueKeys.decodeHead(stored.value).fold(::recordUnreadable) { head ->
            acceptHead(head)
            items.accept(Item(CatalogueKeys.HEAD, head.revision, stored.value))
        }
    }

    /** Accepts a catalogue that was read from the store together with its snapshot. */
    internal fun accept(loaded: LoadedCatalogue) {
        applyState(loaded.state)
        items.publishSnapshot(loaded.base, loaded.head)
    }

    private fun applyState(next: CatalogueState): Unit = synchronized(lock) {
        if (next.revision > (state?.revision ?: -1)) {
            state = next
            listeners.forEach { it(next.catalogue) }
        }
        headAwaitingSnapshot?.let { head ->
            headAwaitingSnapshot = null
            applyHead(head)
        }
    }

    private fun accept(item: Item) {
        when (item.key) {
            CatalogueKeys.HEAD -> CatalogueKeys.decodeHead(item.content).fold(::recordUnreadable, ::acceptHead)
            CatalogueKeys.SNAPSHOTS -> if (item.version > (state?.revision ?: -1)) {
                CatalogueKeys.decodeSnapshot(item.content).fold(::recordUnreadable, ::applyState)
            }
        }
    }

    private fun acceptHead(head: HeadDocument) {
        val before = state
        synchronized(lock) { applyHead(head) }
        before?.let { items.publishSnapshot(it, head) }
    }

    private fun applyHead(head: HeadDocument) {
        val base = state ?: CatalogueState.EMPTY
        val next = base.after(head)
        if (next != null) {
            next.fold(::recordUnreadable, ::applyState)
        } else if (head.revision > base.revision && head.revision > (headAwaitingSnapshot?.revision ?: 0)) {
            headAwaitingSnapshot = head
            snapshotRequestChannel.trySend(Unit)
        }
    }

    private fun recordUnreadable(reason: String) =
        timeline.record(TimelineEntry("catalogue-unreadable", "A catalogue document was ignored: $reason"))
}

/**
 * Adds the head's snapshot as an item if [known] is the state at that snapshot, so that peers need not send it to this
 * daemon. Must not be called with the replica's lock held, since the items call the replica back.
 */
private fun Items.publishSnapshot(known: CatalogueState, head: HeadDocument) {
    val kept = get(CatalogueKeys.SNAPSHOTS)?.version ?: 0
    if (known.revision == head.snapshot && kept < head.snapshot) {
        acceptDerived(Item(CatalogueKeys.SNAPSHOTS, head.snapshot, CatalogueKeys.encode(known.snapshot())))
    }
}
