package boragering.core.membership

import boragering.core.Clock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private class SettableClock : Clock {
    var now = Duration.ZERO

    override fun wallMilliseconds() = 0L

    override fun monotonic() = now
}

class ItemReplicaTest : DescribeSpec({
    fun item(version: Long, key: String = "a/1") = Item(key, version, "content $version")

    describe("an item replica") {
        it("keeps the highest version under any order of arrival") {
            val replica = ItemReplica(SettableClock())
            val versions = (1L..50L).shuffled(Random(1))
            val accepted = versions.filter { replica.accept(item(it)) }
            accepted shouldBe accepted.sorted()
            replica.get("a/1") shouldBe item(50)
        }

        it("does not replace an item by another one of the same version") {
            val replica = ItemReplica(SettableClock())
            replica.accept(item(1))
            replica.accept(item(1).copy(content = "other")) shouldBe false
            replica.get("a/1") shouldBe item(1)
        }

        it("calls listeners with the items of their prefix, including those already known") {
            val replica = ItemReplica(SettableClock())
            val received = mutableListOf<Item>()
            replica.accept(item(1))
            replica.listen("a/", received::add)
            replica.accept(item(2))
            replica.accept(item(3, "b/1"))
            received shouldContainExactly listOf(item(1), item(2))
        }

        it("calls a listener in version order when it accepts a newer version itself") {
            val replica = ItemReplica(SettableClock())
            val received = mutableListOf<Long>()
            replica.listen("a/") { if (it.version == 1L) replica.accept(item(2)) }
            replica.listen("a/") { received += it.version }
            replica.accept(item(1))
            received shouldContainExactly listOf(1, 2)
        }

        it("calls a listener in version order while several threads accept versions") {
            val replica = ItemReplica(SettableClock())
            val received = CopyOnWriteArrayList<Long>()
            replica.listen("a/") { received += it.version }
            val threads = List(4) { part ->
                thread { (1L..500L).filter { it % 4 == part.toLong() }.forEach { replica.accept(item(it)) } }
            }
            threads.forEach { it.join() }
            received shouldBe received.sorted().distinct()
            received.last() shouldBe 500
        }
    }

    describe("a forgotten item") {
        it("is not reintroduced by a peer that forgets it later, but a newer version is accepted") {
            val clock = SettableClock()
            val replica = ItemReplica(clock)
            replica.accept(item(3))
            replica.forget(item(3)) shouldBe true
            replica.all("").shouldBeEmpty()
            clock.now += 9.minutes
            replica.accept(item(3)) shouldBe false
            replica.accept(item(4)) shouldBe true
        }

        it("is accepted again after the time for which it is refused") {
            val clock = SettableClock()
            val replica = ItemReplica(clock)
            replica.accept(item(3))
            replica.forget(item(3))
            clock.now += 10.minutes + 1.seconds
            replica.accept(item(3)) shouldBe true
            replica.all("a/") shouldHaveSize 1
        }

        it("is kept when a newer version has arrived") {
            val replica = ItemReplica(SettableClock())
            replica.accept(item(4))
            replica.forget(item(3)) shouldBe false
            replica.get("a/1") shouldBe item(4)
        }
    }
})
