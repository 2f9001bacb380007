package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration

class DocumentMirrorTest : DescribeSpec({
    fun document(key: String, revision: Long) = StoredValue(key, "v$revision", StoreRevision(revision))

    fun written(key: String, revision: Long) = DocumentChange.Written(document(key, revision))

    fun removed(key: String, revision: Long) = DocumentChange.Removed(key, StoreRevision(revision))

    fun changes(revision: Long, vararg changes: DocumentChange) =
        DocumentChanges(persistentListOf(*changes), StoreRevision(revision))

    describe("changes") {
        it("never replace a newer document (guards against a return to older configurations)") {
            val mirror = DocumentMirror()
            mirror.apply(changes(5, written("a", 5)))
            mirror.apply(changes(4, written("a", 4), removed("a", 4)))
            mirror["a"]?.value shouldBe "v5"
            mirror.revision shouldBe StoreRevision(5)
        }

        it("reach listeners once each (guards against handling the same change twice)") {
            val mirror = DocumentMirror()
            val changedRevisions = ArrayList<Long>()
            mirror.addListener { changedRevisions += it.revision.value }
            mirror.apply(changes(5, written("a", 5)))
            mirror.apply(changes(6, written("a", 5), removed("a", 6)))
            changedRevisions shouldContainExactly listOf(5L, 6L)
        }
    }

    describe("changes without those before them") {
        fun mirrorWithGap() = DocumentMirror().apply {
            apply(changes(5, written("a", 4), written("b", 5)))
            apply(changes(9, written("c", 8), removed("b", 9)).copy(complete = false))
        }

        it("take effect at once (guards against a leaving instance that is used until all is known)") {
            val mirror = mirrorWithGap()
            mirror["c"]?.value shouldBe "v8"
            mirror["b"].shouldBeNull()
        }

        it("do not advance the position (guards against missing changes that nothing remembers)") {
            val mirror = mirrorWithGap()
            mirror.revision shouldBe StoreRevision(5)
            mirror.changesMissing shouldBe true
        }

        it("are not passed on (guards against gateways that take them for all there are)") {
            val passedOn = mirrorWithGap().changesSince(StoreRevision(4))
            passedOn?.revision shouldBe StoreRevision(5)
            passedOn?.changes?.map { it.key } shouldBe listOf("b")
        }

        it("are passed on with the others once all are known (guards against changes that reach nobody else)") {
            val mirror = mirrorWithGap()
            val read = persistentListOf(document("a", 7), document("c", 8))
            mirror.replaceAll(DocumentSnapshot(read, StoreRevision(9)))
            mirror.changesMissing shouldBe false
            val expected = listOf(written("a", 7), written("c", 8), removed("b", 9))
            mirror.changesSince(StoreRevision(5))?.changes shouldBe expected
        }

        it("are complete when the store reports the others after all (guards against needless reads)") {
            val mirror = mirrorWithGap()
            mirror.apply(changes(9, written("a", 7), written("c", 8), removed("b", 9)))
            mirror.changesMissing shouldBe false
            mirror["a"]?.value shouldBe "v7"
        }

        it("outdate an earlier version that arrives later (guards against the return of an instance that left)") {
            val mirror = mirrorWithGap()
            mirror.apply(changes(7, written("b", 7)).copy(complete = false))
            mirror["b"].shouldBeNull()
        }
    }

    describe("a snapshot of all documents") {
        it("removes documents that it lacks (guards against instances that stay listed when changes were missed)") {
            val mirror = DocumentMirror()
            mirror.apply(changes(5, written("a", 4), written("b", 5)))
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("b", 5)), StoreRevision(9)))
            mirror["a"].shouldBeNull()
            mirror["b"]?.value shouldBe "v5"
        }

        it("does not replace newer documents (guards against a read that was overtaken)") {
            val mirror = DocumentMirror()
            mirror.apply(changes(9, written("a", 9)))
            mirror.replaceAll(DocumentSnapshot(persistentListOf(), StoreRevision(8)))
            mirror["a"]?.value shouldBe "v9"
        }
    }

    describe("a new version of a document that is equivalent to the known one") {
        it("counts as unchanged, while the revision increases (guards against work for each heartbeat)") {
            val mirror = DocumentMirror { known, written -> known.value.first() == written.value.first() }
            val changedRevisions = ArrayList<Long>()
            mirror.addListener { changedRevisions += it.revision.value }
            mirror.apply(changes(5, written("a", 5)))
            mirror.apply(changes(6, written("a", 6)))
            changedRevisions shouldContainExactly listOf(5L)
            mirror.revision shouldBe StoreRevision(6)
            mirror.changesSince(StoreRevision(5))?.changes?.size shouldBe 0
            mirror.apply(changes(7, removed("a", 7)))
            mirror["a"].shouldBeNull()
        }
    }

    describe("the changes for another gateway") {
        it("include those found by a new read of all documents (guards against all gateways reading the store)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("a", 1), document("b", 2)), StoreRevision(2)))
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("b", 2), document("c", 8)), StoreRevision(9)))
            mirror.changesSince(StoreRevision(2))?.changes shouldBe listOf(written("c", 8), removed("a", 9))
        }

        it("include removals (guards against API keys that stay valid on a gateway cut off from the store)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("a", 1), document("b", 2)), StoreRevision(2)))
            mirror.apply(changes(4, removed("a", 3), written("b", 4)))
            mirror.changesSince(StoreRevision(2))?.changes?.map { it.key to it.revision.value } shouldBe
                listOf("a" to 3L, "b" to 4L)
        }

        it("include those of a read of several pages (guards against changes that are skipped)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("a", 1)), StoreRevision(2)))
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("b", 6)), StoreRevision(4)))
            mirror.apply(changes(7, written("c", 7)))
            mirror.changesSince(StoreRevision(5))?.changes shouldBe listOf(written("b", 6), written("c", 7))
        }

        it("are not known for a revision older than the history (guards against missed removals)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(DocumentSnapshot(persistentListOf(document("a", 1)), StoreRevision(5)))
            mirror.changesSince(StoreRevision(4)).shouldBeNull()
        }
    }

    describe("a store that was restored from a backup") {
        fun restored(key: String, revision: Long, value: String = "v$revision") =
            StoredValue(key, value, StoreRevision(revision, era = 1))

        fun snapshot(revision: Long, vararg documents: StoredValue) =
            DocumentSnapshot(persistentListOf(*documents), StoreRevision(revision, era = 1))

        val rules = object : DocumentRules {
            override fun areEquivalent(known: StoredValue, written: StoredValue) = known.value == written.value

            override fun rewrittenAfterRestore(key: String) = key.startsWith("entry")
        }

        class Fixture {
            var time = Duration.ZERO
            val mirror = DocumentMirror({ time }, rules)

            init {
                mirror.replaceAll(DocumentSnapshot(persistentListOf(document("entry", 4)), StoreRevision(5)))
                mirror.apply(changes(9, written("entry", 9)))
            }
        }

        it("replaces documents of higher revisions (guards against documents that are kept for good)") {
            val mirror = DocumentMirror()
            mirror.apply(changes(9, written("a", 3), written("b", 9)))
            mirror.replaceAll(snapshot(5, restored("a", 4))) shouldBe true
            mirror["a"]?.value shouldBe "v4"
            mirror["b"].shouldBeNull()
            mirror.revision shouldBe StoreRevision(5, era = 1)
        }

        it("is not followed by changes of the earlier era (guards against what others have read before)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(snapshot(5, restored("a", 4)))
            mirror.apply(changes(20, written("a", 20)))
            mirror["a"]?.value shouldBe "v4"
            mirror.replaceAll(DocumentSnapshot(persistentListOf(), StoreRevision(30))) shouldBe false
        }

        it("has another history (guards against gateways that miss what they know from the earlier era only)") {
            val mirror = DocumentMirror()
            mirror.replaceAll(DocumentSnapshot(persistentListOf(), StoreRevision(1)))
            mirror.apply(changes(9, written("a", 9)))
            mirror.replaceAll(snapshot(5, restored("a", 4)))
            mirror.changesSince(StoreRevision(7)).shouldBeNull()
            mirror.changesSince(StoreRevision(5, era = 1))?.changes shouldBe emptyList()
        }

        it("does not bring an outdated entry back (guards against requests to an instance that is leaving)") {
            Fixture().run {
                mirror.replaceAll(snapshot(5, restored("entry", 4)))
                mirror["entry"]?.value shouldBe "v9"
                mirror.replaceAll(snapshot(6, restored("entry", 4)))
                mirror["entry"]?.value shouldBe "v9"
            }
        }

        it("brings an entry into force once it is written again (guards against entries withheld too long)") {
            Fixture().run {
                mirror.replaceAll(snapshot(5, restored("entry", 4)))
                val again = DocumentChange.Written(restored("entry", 7))
                mirror.apply(DocumentChanges(persistentListOf(again), again.revision))
                mirror["entry"]?.value shouldBe "v7"
            }
        }

        it("brings an outdated entry back after some time (guards against entries withheld for ever)") {
            Fixture().run {
                mirror.replaceAll(snapshot(5, restored("entry", 4)))
                mirror.releaseWithheld()
                mirror["entry"]?.value shouldBe "v9"
                time += RestoredDocuments.WITHHOLD_TIME
                mirror.releaseWithheld()
                mirror["entry"]?.value shouldBe "v4"
            }
        }

        it("does not bring a removed entry back if it is removed again (guards against entries of the past)") {
            Fixture().run {
                mirror.apply(changes(10, removed("entry", 10)))
                mirror.replaceAll(snapshot(5, restored("entry", 9)))
                mirror["entry"].shouldBeNull()
                mirror.replaceAll(snapshot(6))
                time += RestoredDocuments.WITHHOLD_TIME
                mirror.releaseWithheld()
                mirror["entry"].shouldBeNull()
            }
        }

        it("is not reported for documents with the same content (guards against repeated effects)") {
            val mirror = DocumentMirror()
            mirror.apply(changes(9, written("a", 9)))
            var reported = 0
            mirror.addListener { reported += 1 }
            mirror.replaceAll(snapshot(5, restored("a", 4, value = "v9")))
            reported shouldBe 0
            mirror["a"]?.revision shouldBe StoreRevision(4, era = 1)
        }
    }
})
