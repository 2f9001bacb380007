package boragering.measurements

import boragering.core.EntryName
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.CatalogueFormat
import boragering.core.catalogue.CatalogueKeys
import boragering.core.catalogue.CatalogueReplica
import boragering.core.catalogue.CatalogueWriter
import boragering.core.catalogue.ModelEntry
import boragering.core.membership.Item
import boragering.core.membership.ItemReplica
import boragering.core.timeline.Timeline
import kotlinx.coroutines.runBlocking
import kotlin.random.Random

/** Bytes and processor time of catalogue changes that each alter one entry. */
class CatalogueMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> = listOf(
        Series.measure("head, mean over changes", "bytes", "entries", SIZES) { entries ->
            listOf(CatalogueRun(entries).changed().heads.map { it.content.length }.average())
        },
        Series.measure("newest snapshot", "bytes", "entries", SIZES) { entries ->
            listOf(CatalogueRun(entries).changed().snapshot.content.length.toDouble())
        },
        Series.measure("written to the store for one change", "bytes", "entries", SIZES) { entries ->
            val run = CatalogueRun(entries)
            val before = run.store.writtenBytes
            listOf((run.changed().store.writtenBytes - before).toDouble() / CHANGES)
        },
        Series.measure("store writes for one change", "writes", "entries", SIZES) { entries ->
            val run = CatalogueRun(entries)
            val before = run.store.writes
            listOf((run.changed().store.writes - before).toDouble() / CHANGES)
        },
        Series.measure("applying one change", "µs", "entries", SIZES) { entries ->
            probe.prepared(CHANGES) {
                val run = CatalogueRun(entries)
                val action = { run.changed() }
                action
            }
        },
        Series.measure("taking one change from a peer", "µs", "entries", SIZES) { entries ->
            val run = CatalogueRun(entries)
            val start = run.snapshot
            val heads = run.changed().heads
            probe.prepared(CHANGES) {
                val items = replica(start)
                val action = { heads.forEach(items::accept) }
                action
            }
        },
        Series.measure("heap of the catalogue in force", "bytes", "entries", SIZES) { entries ->
            val start = CatalogueRun(entries).snapshot
            probe.heap { replica(start) }
        },
    )

    private fun replica(start: Item): ItemReplica {
        val items = ItemReplica(Fixtures.clock)
        CatalogueReplica(MemoryStore(), items, PEERS, Timeline { }, Random(1))
        items.accept(start)
        return items
    }

    /** A stored catalogue and the items that its changes made. */
    private class CatalogueRun(entries: Int) {
        val store = MemoryStore()
        val heads = ArrayList<Item>()
        private val items = ItemReplica(Fixtures.clock)
        private val writer = CatalogueWriter(store, items, Fixtures.clock, Random(1))
        private var catalogue: Catalogue =
            CatalogueFixtures.catalogue(
                List(entries) { CatalogueFixtures.model("entry-$it", groupSize = 8, replicas = 2) }
            )

        /** The newest snapshot. */
        val snapshot: Item get() = checkNotNull(items.get(CatalogueKeys.SNAPSHOTS)) { "there is no snapshot yet" }

        init {
            apply(0)
            items.listen(CatalogueKeys.HEAD) { heads += it }
            heads.clear()
            // Small catalogues do not exceed the head's limit at once.
            var revision = 1
            while (items.get(CatalogueKeys.SNAPSHOTS) == null) change(revision++)
            heads.clear()
        }

        fun changed(): CatalogueRun {
            val first = checkNotNull(items.get(CatalogueKeys.HEAD)).version.toInt()
            repeat(CHANGES) { change(first + it) }
            return this
        }

        private fun change(revision: Int) {
            val name = EntryName("entry-${revision % catalogue.entries.size}")
            val entry = catalogue.entries.getValue(name) as ModelEntry
            catalogue = catalogue.copy(entries = catalogue.entries.put(name, entry.copy(modelVersion = "v$revision")))
            apply(revision)
        }

        private fun apply(base: Int) = runBlocking {
            val text = CatalogueFormat.of(catalogue.copy(revision = base.toLong()))
            val answer = writer.apply(ApplyRequest("token-$base", "operator", base.toLong(), text))
            check(answer.result == ApplyResult.ACCEPTED) { "revision $base: $answer" }
        }
    }

    private companion object {
        const val CHANGES = 60
        val SIZES = listOf(10, 100, 300, 600)
        val PEERS = Fixtures.peers(count = 9)
    }
}
