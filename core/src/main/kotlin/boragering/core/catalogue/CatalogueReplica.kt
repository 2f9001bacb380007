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
 * The catalogue in force on this daemon. It takes heads and snapshots from the store and from peers in any order and
 * any number of times; the revision in force never decreases.
 */
class CatalogueReplica(
    private val store: Store,
    private val items: Items,
    private val peers: Peers,
    private val timeline: Timeline,
    private val random: Random,
) : CatalogueSource {
    private val lock = Any()
    private val wanted = Channel<Unit>(Channel.CONFLATED)
    private val listeners = ArrayList<(Catalogue) -> Unit>()

    /** The newest head that could not be used for want of its snapshot. */
    private var waiting: HeadDocument? = null

    @Volatile
    private var state: CatalogueState? = null

    internal val snapshotWanted: ReceiveChannel<Unit> get() = wanted
    internal val isWaiting: Boolean get() = synchronized(lock) { waiting != null }

    init {
        items.listen(CatalogueKeys.SNAPSHOTS, ::take)
        items.listen(CatalogueKeys.HEAD, ::take)
    }

    override fun current(): Catalogue? = state?.catalogue

    /**
     * Calls [listener] with each revision that comes into force, in order, and at once with the present one. It is
     * called under a lock and must neither block nor call back.
     */
    fun listen(listener: (Catalogue) -> Unit): Unit = synchronized(lock) {
        listeners += listener
        state?.let { listener(it.catalogue) }
    }

    /** Follows the store until it is cancelled. A failing store is asked less often and never ends the loop. */
    suspend fun run() = CatalogueFollower(store, peers, random, this).run()

    /** Takes a head that was read from the store and offers it to the peers. */
    internal fun take(stored: StoredValue) {
        CatalogueKeys.head(stored.value).fold(::unreadable) { head ->
            takeHead(head)
            items.accept(Item(CatalogueKeys.HEAD, head.revision, stored.value))
        }
    }

    /** Takes the catalogue that was read from the store together with its snapshot. */
    internal fun take(loaded: LoadedCatalogue) {
        takeState(loaded.state)
        items.keepSnapshot(loaded.base, loaded.head)
    }

    private fun takeState(next: CatalogueState): Unit = synchronized(lock) {
        if (next.revision > (state?.revision ?: -1)) {
            state = next
            listeners.forEach { it(next.catalogue) }
        }
        waiting?.let { head ->
            waiting = null
            useHead(head)
        }
    }

    private fun take(item: Item) {
        when (item.key) {
            CatalogueKeys.HEAD -> CatalogueKeys.head(item.content).fold(::unreadable, ::takeHead)
            CatalogueKeys.SNAPSHOTS -> if (item.version > (state?.revision ?: -1)) {
                CatalogueKeys.snapshotState(item.content).fold(::unreadable, ::takeState)
            }
        }
    }

    private fun takeHead(head: HeadDocument) {
        val before = state
        synchronized(lock) { useHead(head) }
        before?.let { items.keepSnapshot(it, head) }
    }

    private fun useHead(head: HeadDocument) {
        val base = state ?: CatalogueState.EMPTY
        val next = base.after(head)
        if (next != null) {
            next.fold(::unreadable, ::takeState)
        } else if (head.revision > base.revision && head.revision > (waiting?.revision ?: 0)) {
            waiting = head
            wanted.trySend(Unit)
        }
    }

    private fun unreadable(reason: String) =
        timeline.record(TimelineEntry("catalogue-unreadable", "A catalogue document was ignored: $reason"))
}

/**
 * A daemon that has the state at the head's snapshot builds the snapshot itself, so that it need not be sent to it. It
 * must not hold the replica's lock, since the items call the replica back.
 */
private fun Items.keepSnapshot(known: CatalogueState, head: HeadDocument) {
    val kept = get(CatalogueKeys.SNAPSHOTS)?.version ?: 0
    if (known.revision == head.snapshot && kept < head.snapshot) {
        acceptDerived(Item(CatalogueKeys.SNAPSHOTS, head.snapshot, CatalogueKeys.text(known.snapshot())))
    }
}
