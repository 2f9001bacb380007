package boragering.gateway

import boragering.core.StoreRevision
import boragering.core.StoredValue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

/** The memory of ten documents of the test. */
private const val LIMIT = 20_000L
private const val CHARACTERS = 900

class ChangeHistoryTest : DescribeSpec({
    fun written(key: String, revision: Long) =
        DocumentChange.Written(StoredValue(key, "x".repeat(CHARACTERS), StoreRevision(revision)))

    class Fixture {
        val cuts = ArrayList<Long>()
        val history = ChangeHistory(LIMIT) { cuts += it.value }

        fun complete(key: String, revision: Long) {
            history.add(written(key, revision))
            history.advance(StoreRevision(revision))
        }

        fun keysSince(after: Long, end: Long) =
            history.since(StoreRevision(after), StoreRevision(end))?.changes?.map { it.key }
    }

    describe("a document that changes often") {
        it("is held once (guards against a heap that is exhausted by versions nobody asks for)") {
            val fixture = Fixture()
            repeat(100) { fixture.complete("a", it + 1L) }
            fixture.history.bytes shouldBe written("a", 100).memoryBytes
            fixture.cuts shouldBe emptyList()
        }

        it("does not displace others (guards against gateways that read the store during each storm)") {
            val fixture = Fixture()
            fixture.complete("b", 1)
            repeat(100) { fixture.complete("a", it + 2L) }
            fixture.keysSince(after = 0, end = 101) shouldBe listOf("b", "a")
        }
    }

    describe("changes beyond the limit in bytes") {
        fun cutFixture() = Fixture().apply { repeat(25) { complete("k$it", it + 1L) } }

        it("make the oldest ones leave, which is told (guards against a limit by number only)") {
            val fixture = cutFixture()
            fixture.history.bytes shouldBeLessThanOrEqual LIMIT
            fixture.cuts.last() shouldBe 16L
        }

        it("are still known to those who lack only these (guards against a history that is given up)") {
            cutFixture().keysSince(after = 16, end = 25) shouldBe (16..24).map { "k$it" }
        }

        it("are not told in part (guards against gateways that miss what was dropped)") {
            cutFixture().keysSince(after = 15, end = 25).shouldBeNull()
        }

        it("are limited while earlier ones are missing (guards against a gap that lasts)") {
            val fixture = Fixture()
            fixture.complete("a", 1)
            repeat(100) { fixture.history.add(written("a", it + 10L)) }
            fixture.history.bytes shouldBeLessThanOrEqual LIMIT
            fixture.keysSince(after = 1, end = 1).shouldBeNull()
        }

        it("do not stop the history (guards against a gateway that degrades for good)") {
            val fixture = cutFixture()
            fixture.complete("late", 30)
            fixture.keysSince(after = 29, end = 30) shouldBe listOf("late")
        }
    }

    it("keeps the version that is complete while a later one is ahead (guards against a change that nobody is told)") {
        val fixture = Fixture()
        fixture.complete("a", 5)
        fixture.history.add(written("a", 9))
        val known = fixture.history.since(StoreRevision(4), StoreRevision(5))
        known?.changes?.map { it.revision.value } shouldBe listOf(5L)
    }
})
