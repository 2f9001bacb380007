package boragering.core.catalogue

import boragering.core.EntryName
import boragering.core.Store
import boragering.core.membership.Items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

class CatalogueWriterTest : DescribeSpec({
    fun writer(store: Store, items: Items = FakeItems()) = CatalogueWriter(store, items, FakeClock(), Random(1))

    suspend fun loaded(store: Store) = CatalogueLoader(store).load().getOrNull().shouldNotBeNull()

    describe("the first change of an empty store") {
        it("has base revision 0 and creates revision 1") {
            runTest {
                val answer = writer(ScriptedStore()).apply(Documents.request(0, "t1", Documents.service("a")))
                answer shouldBe ApplyAnswer(ApplyResult.ACCEPTED, 1, listOf("entries/a"))
            }
        }
    }

    describe("a change with an old base revision") {
        it("is refused and lists the entries that both changes modify") {
            runTest {
                val store = ScriptedStore()
                val (a, b) = Documents.service("a") to Documents.service("b")
                writer(store).apply(Documents.request(0, "t1", a, b))
                writer(store).apply(Documents.request(1, "t2", Documents.service("a", owner = "x"), b))
                val answer = writer(store).apply(Documents.request(1, "t3", Documents.service("a", owner = "y"), b))
                answer.result shouldBe ApplyResult.CONFLICT
                answer.revision shouldBe 2
                answer.conflicting shouldContainExactly listOf("entries/a")
            }
        }

        it("is refused and lists other changed entries, so that no change is overwritten unnoticed") {
            runTest {
                val store = ScriptedStore()
                val (a, b) = Documents.service("a") to Documents.service("b")
                writer(store).apply(Documents.request(0, "t1", a, b))
                writer(store).apply(Documents.request(1, "t2", Documents.service("a", owner = "x"), b))
                val answer = writer(store).apply(Documents.request(1, "t3", a, Documents.service("b", owner = "y")))
                answer.result shouldBe ApplyResult.CONFLICT
                answer.changed shouldContainExactly listOf("entries/a")
                answer.conflicting.shouldBeEmpty()
            }
        }
    }

    describe("two concurrent changes") {
        it("lead to one being accepted and the other being refused") {
            runTest {
                val store = ScriptedStore()
                var other: ApplyAnswer? = null
                store.beforeSwap = {
                    store.beforeSwap = {}
                    other = writer(store).apply(Documents.request(0, "t2", Documents.service("b")))
                }
                val answer = writer(store).apply(Documents.request(0, "t1", Documents.service("a")))
                other?.result shouldBe ApplyResult.ACCEPTED
                answer.result shouldBe ApplyResult.CONFLICT
                loaded(store).state.catalogue.entries.keys shouldContainExactly setOf(EntryName("b"))
            }
        }
    }

    describe("a lost response") {
        it("of a write that took effect is resolved as accepted and written once") {
            runTest {
                val store = ScriptedStore().apply { faults += SwapFault.RESPONSE_LOST }
                writer(store).apply(Documents.request(0, "t1", Documents.service("a"))).result shouldBe
                    ApplyResult.ACCEPTED
                loaded(store).state.revision shouldBe 1
            }
        }

        it("of a write that did not take effect is written again") {
            runTest {
                val store = ScriptedStore().apply { faults += SwapFault.REQUEST_LOST }
                writer(store).apply(Documents.request(0, "t1", Documents.service("a"))).revision shouldBe 1
            }
        }

        it("of a write that takes effect late is accepted once") {
            runTest {
                val store = ScriptedStore().apply { faults += SwapFault.APPLIED_LATE }
                writer(store).apply(Documents.request(0, "t1", Documents.service("a"))).revision shouldBe 1
                loaded(store).state.revision shouldBe 1
            }
        }

        it("stays unknown when later attempts definitely fail, since the first may still take effect") {
            runTest {
                val store = ScriptedStore().apply {
                    faults += SwapFault.REQUEST_LOST
                    repeat(20) { faults += SwapFault.REFUSED }
                }
                writer(store).apply(Documents.request(0, "t1", Documents.service("a"))).result shouldBe
                    ApplyResult.UNKNOWN
            }
        }

        it("is a conflict when another change came first") {
            runTest {
                val store = ScriptedStore().apply { faults += SwapFault.REQUEST_LOST }
                var calls = 0
                store.beforeSwap = {
                    if (++calls == 2) writer(store).apply(Documents.request(0, "t2", Documents.service("b")))
                }
                writer(store).apply(Documents.request(0, "t1", Documents.service("a"))).result shouldBe
                    ApplyResult.CONFLICT
            }
        }

        it("is reported as unknown when the store stays down, and a retry with the same token gives the outcome") {
            runTest {
                val store = ScriptedStore().apply {
                    faults += SwapFault.RESPONSE_LOST
                    afterSwap = { down = true }
                }
                val request = Documents.request(0, "t1", Documents.service("a"))
                writer(store).apply(request).result shouldBe ApplyResult.UNKNOWN
                store.down = false
                writer(store).apply(request) shouldBe ApplyAnswer(ApplyResult.ACCEPTED, 1, listOf("entries/a"))
            }
        }
    }

    describe("a store that is down") {
        it("is reported as unavailable, since nothing was written") {
            runTest {
                val answer = writer(ScriptedStore().apply { down = true })
                    .apply(Documents.request(0, "t1", Documents.service("a")))
                answer.result shouldBe ApplyResult.UNAVAILABLE
            }
        }
    }

    describe("a token") {
        it("gets the same answer after other changes") {
            runTest {
                val store = ScriptedStore()
                val request = Documents.request(0, "t1", Documents.service("a"))
                val first = writer(store).apply(request)
                writer(store).apply(Documents.request(1, "t2", Documents.service("b")))
                writer(store).apply(request) shouldBe first
            }
        }

        it("cannot be reused for another document") {
            runTest {
                val store = ScriptedStore()
                writer(store).apply(Documents.request(0, "t1", Documents.service("a")))
                val answer = writer(store).apply(Documents.request(0, "t1", Documents.service("b")))
                answer.findings.single().path shouldBe "token"
            }
        }
    }

    describe("compaction") {
        suspend fun change(store: ScriptedStore, from: Long, to: Long) = (from..to).forEach { base ->
            val entry = Documents.service("a", owner = "owner-$base")
            writer(store).apply(Documents.request(base, "t$base", entry)).result shouldBe ApplyResult.ACCEPTED
        }

        fun snapshots(store: ScriptedStore) =
            store.values.keys.filter { it.startsWith(CatalogueKeys.SNAPSHOT_PREFIX) }

        it("keeps the head near its limit, two snapshots and 200 changes of history") {
            runTest {
                val store = ScriptedStore()
                change(store, 0, 249)
                store.values.getValue(CatalogueKeys.HEAD).value.length shouldBeLessThanOrEqual 16 * 1024
                snapshots(store) shouldHaveSize 2
                val state = loaded(store).state
                state.revision shouldBe 250
                state.catalogue.entries.getValue(EntryName("a")).owner shouldBe "owner-249"
                state.history shouldHaveSize 200
            }
        }

        it("that is interrupted after the snapshot leaves a readable head and is completed by a later change") {
            runTest {
                val store = ScriptedStore()
                var interrupted: Long? = null
                store.beforeSwap = { key ->
                    if (interrupted == null && key.startsWith(CatalogueKeys.SNAPSHOT_PREFIX)) {
                        interrupted = key.substringAfterLast('/').toLong()
                        store.faults += listOf(null, SwapFault.REFUSED)
                    }
                }
                var revision = 0L
                while (interrupted == null) change(store, revision, revision++)
                snapshots(store) shouldContainExactly listOf(CatalogueKeys.snapshotKey(revision))
                loaded(store).head.snapshot shouldBe 0
                loaded(store).state.revision shouldBe revision
                change(store, revision, revision)
                loaded(store).head.snapshot shouldBe revision + 1
                snapshots(store) shouldContainExactly listOf(CatalogueKeys.snapshotKey(revision + 1))
            }
        }
    }
})
