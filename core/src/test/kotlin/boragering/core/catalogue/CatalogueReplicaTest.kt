package boragering.core.catalogue

import boragering.core.Store
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.membership.Peers
import boragering.core.timeline.TimelineEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSortedWith
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class CatalogueReplicaTest : DescribeSpec({
    fun replica(store: Store, items: Items = FakeItems(), peers: Peers = FakePeers("self")) =
        CatalogueReplica(store, items, peers, {}, Random(1))

    /** Writes [count] changes and returns the head and snapshot items in the order of their publication. */
    suspend fun published(store: ScriptedStore, count: Long): List<Item> {
        val published = ArrayList<Item>()
        val items = FakeItems()
        items.listen("boragering/catalogue/") { published += it }
        val writer = CatalogueWriter(store, items, FakeClock(), Random(1))
        (0 until count).forEach { base ->
            writer.apply(Documents.request(base, "t$base", Documents.service("a", owner = "owner-$base")))
        }
        return published
    }

    describe("a replica") {
        it("never returns to an older revision when items arrive in any order and repeatedly") {
            runTest {
                val published = published(ScriptedStore(), 60)
                repeat(20) { seed ->
                    val items = FakeItems()
                    val replica = replica(ScriptedStore(), items)
                    val seen = ArrayList<Long>()
                    replica.listen { seen += it.revision }
                    (published + published).shuffled(Random(seed)).forEach {
                        // Simulates a transport without ordering: the version filter of the real items is bypassed.
                        items.known.remove(it.key)
                        items.accept(it)
                    }
                    seen shouldBeSortedWith naturalOrder<Long>()
                    seen.distinct() shouldBe seen
                    replica.current()?.revision shouldBe 60
                }
            }
        }

        it("reads the snapshot from the store when it has only the head") {
            runTest {
                val store = ScriptedStore()
                val head = published(store, 60).last { it.key == CatalogueKeys.HEAD }
                val items = FakeItems()
                val replica = replica(store, items)
                items.accept(head)
                replica.current().shouldBeNull()
                val loop = launch { replica.run() }
                advanceTimeBy(100.milliseconds)
                replica.current()?.revision shouldBe 60
                items.known.keys shouldContain CatalogueKeys.SNAPSHOTS
                loop.cancel()
            }
        }

        it("keeps its revision and recovers within 20 s of the store's return") {
            runTest {
                val store = ScriptedStore()
                val replica = replica(store, peers = FakePeers("self", "a", "b", "c"))
                published(store, 1)
                val loop = launch { replica.run() }
                advanceTimeBy(1.seconds)
                store.down = true
                advanceTimeBy(300.seconds)
                replica.current()?.revision shouldBe 1
                store.down = false
                CatalogueWriter(store, FakeItems(), FakeClock(), Random(2))
                    .apply(Documents.request(1, "t", Documents.service("b")))
                advanceTimeBy(20.seconds)
                replica.current()?.revision shouldBe 2
                loop.cancel()
            }
        }

        it("watches the head on only 2 of 6 daemons, which apply a change at once") {
            runTest {
                val names = List(6) { "daemon-$it" }
                val counts = names.map { self ->
                    val store = ScriptedStore()
                    published(store, 1)
                    val replica = replica(store, peers = FakePeers(self, *(names - self).toTypedArray()))
                    val loop = launch { replica.run() }
                    advanceTimeBy(3.seconds)
                    CatalogueWriter(store, FakeItems(), FakeClock(), Random(2))
                        .apply(Documents.request(1, "t", Documents.service("b")))
                    advanceTimeBy(200.milliseconds)
                    loop.cancel()
                    (store.watches > 0) to replica.current()?.revision
                }
                counts.count { it == true to 2L } shouldBe 2
                counts.count { it == false to 1L } shouldBe 4
            }
        }

        it("ignores a document that cannot be decoded") {
            val items = FakeItems()
            val events = ArrayList<TimelineEntry>()
            val replica = CatalogueReplica(ScriptedStore(), items, FakePeers("self"), events::add, Random(1))
            items.accept(Item(CatalogueKeys.HEAD, 9, "{"))
            replica.current().shouldBeNull()
            events.single().kind shouldBe "catalogue-unreadable"
        }
    }
})
