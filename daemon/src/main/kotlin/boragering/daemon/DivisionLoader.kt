package boragering.daemon

import boragering.core.Store
import boragering.core.groups.Division
import boragering.core.groups.DivisionDocument
import boragering.core.membership.Items
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Reads all divisions from the store when the daemon starts; later versions come from peers. */
internal class DivisionLoader(private val store: Store, private val items: Items) {
    private val read = AtomicBoolean()

    /** Whether the divisions are known, from the store or from a peer. */
    val loaded: Boolean get() = read.get() || items.all(Division.KEY_PREFIX).isNotEmpty()

    /** Reads until the store has answered once. */
    suspend fun run() {
        while (!read.get()) {
            store
                .range(Division.KEY_PREFIX)
                .onRight { values ->
                    values.mapNotNull { DivisionDocument.decode(it.value) }.forEach {
                        items.accept(DivisionDocument.item(it))
                    }
                    read.set(true)
                }.onLeft { delay(RETRY_INTERVAL) }
        }
    }

    private companion object {
        val RETRY_INTERVAL = 1.seconds
    }
}
