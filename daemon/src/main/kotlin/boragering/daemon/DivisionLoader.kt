package boragering.daemon

import boragering.core.Store
import boragering.core.groups.Division
import boragering.core.groups.DivisionDocument
import boragering.core.membership.Items
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Reads all divisions from the store when the daemon starts. Later versions arrive from peers. */
internal class DivisionLoader(private val store: Store, private val items: Items) {
    private val readFromStore = AtomicBoolean()

    /** Whether the store has been read, or a peer has sent at least one division. */
    val loaded: Boolean get() = readFromStore.get() || items.all(Division.KEY_PREFIX).isNotEmpty()

    /** Reads the divisions from the store, and retries after a delay until one read succeeds. */
    suspend fun run() {
        while (!readFromStore.get()) {
            store
                .range(Division.KEY_PREFIX)
                .onRight { values ->
                    values.mapNotNull { DivisionDocument.decode(it.value) }.forEach {
                        items.accept(DivisionDocument.item(it))
                    }
                    readFromStore.set(true)
                }.onLeft { delay(RETRY_INTERVAL) }
        }
    }

    private companion object {
        val RETRY_INTERVAL = 1.seconds
    }
}
