package boragering.core.timeline

import boragering.core.DaemonId
import boragering.core.GroupId
import boragering.core.catalogue.FakeClock
import boragering.core.groups.DivisionEvent
import boragering.core.groups.toTimelineEvent
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSortedWith
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.concurrent.thread

class TimelineBufferTest : DescribeSpec({
    fun buffer(capacity: Int = 100, daemon: String = "a", wall: FakeClock = FakeClock()) =
        TimelineBuffer(HybridClock(DaemonId(daemon), wall), capacity)

    fun event(text: String, group: String? = null) = TimelineEntry("test", text, group?.let(::GroupId))

    describe("a buffer") {
        it("keeps the newest events") {
            val buffer = buffer(capacity = 3)
            (1..5).forEach { buffer.record(event("$it")) }
            buffer.query(TimelineQuery()).map { it.entry.text } shouldContainExactly listOf("3", "4", "5")
        }

        it("keeps a limited number of characters (guards against long texts that exhaust the heap)") {
            val buffer = buffer(capacity = 20_000)
            repeat(20_000) { buffer.record(event("$it".padEnd(10_000))) }
            val texts = buffer.query(TimelineQuery()).map { it.entry.text }
            texts.sumOf { it.length } shouldBeLessThan (8 shl 20) + 1
            texts.last().trim() shouldBe "19999"
        }

        it("keeps the events of several threads in timestamp order") {
            val buffer = buffer(capacity = 4_000)
            (1..4).map { thread { repeat(1_000) { buffer.record(event("x")) } } }.forEach { it.join() }
            val stamps = buffer.query(TimelineQuery()).map { it.stamp }
            stamps.distinct() shouldHaveSize 4_000
            stamps shouldBeSortedWith naturalOrder<HybridTime>()
        }

        it("filters by group and time") {
            val wall = FakeClock(wall = 10)
            val buffer = buffer(wall = wall)
            buffer.record(event("old", "g"))
            wall.wall = 20
            buffer.record(event("other", "h"))
            buffer.record(event("new", "g"))
            buffer.query(TimelineQuery(GroupId("g"), sinceMilliseconds = 20)).single().entry.text shouldBe "new"
        }
    }

    describe("the merged time line") {
        it("sorts an effect after its cause and shows an event of a shared document once") {
            val ahead = HybridClock(DaemonId("z"), FakeClock(wall = 9_000))
            val behind = HybridClock(DaemonId("a"), FakeClock(wall = 1_000))
            val cause = DivisionEvent(ahead.issue(), GroupId("g"), null, "cause").toTimelineEvent()
            behind.merge(cause.stamp)
            val effect = TimelineEvent(behind.issue(), event("effect"))
            val merged = mergeTimelines(listOf(listOf(effect, cause), listOf(cause)))
            merged.map { it.entry.text } shouldContainExactly listOf("cause", "effect")
        }
    }

    describe("the output") {
        val hostile = "</title><script>alert('x')</script>\u001b[2J\nforged"
        val event = TimelineEvent(HybridTime(0, 1, DaemonId(hostile)), event(hostile, hostile))

        it("as text has one event per line without control characters") {
            val text = TimelineText.of(listOf(event))
            text.lines() shouldHaveSize 2
            text shouldNotContain "\u001b"
            text shouldContain "1970-01-01T00:00:00.000Z+1"
        }

        it("as a page escapes all text and refers to no external resources") {
            val page = TimelinePage(listOf(event), listOf(hostile)).html()
            page shouldNotContain "<script"
            page shouldNotContain "http"
            page shouldContain "&lt;script&gt;"
        }

        it("as a page draws each event on the lanes of its daemon and group, up to a bound") {
            val events = (0L..10_100L).map { TimelineEvent(HybridTime(it, 0, DaemonId("a")), event("x", "g")) }
            val page = TimelinePage(events).html()
            page.split("<circle").size - 1 shouldBe 2 * TimelinePage.MAXIMUM_EVENTS
            page shouldContain "101 older events are left out"
            page shouldContain "group g"
            page.length shouldBeLessThan 8_000_000
        }
    }
})
