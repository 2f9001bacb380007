package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class EventParserTest : DescribeSpec({
    fun parse(vararg parts: String): Pair<List<Pair<String, Long?>>, Boolean> {
        val parser = EventParser()
        val events = ArrayList<Pair<String, Long?>>()
        parts.forEach { part ->
            val bytes = part.toByteArray()
            parser.feed(bytes) { event, id -> events += event.decodeToString() to id }
        }
        return events to parser.broken
    }

    describe("whole events") {
        it("come out byte for byte with their ids (guards against changed answers)") {
            val (events, broken) = parse("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
            events shouldContainExactly listOf("id: 1\ndata: a\n\n" to 1L, "id: 2\r\ndata: b\r\n\r\n" to 2L)
            broken shouldBe false
        }

        it("come out however the bytes are split (guards against events lost at the border of packets)") {
            val text = "id: 7\ndata: x\n\n"
            val (events, _) = parse(*text.map { it.toString() }.toTypedArray())
            events shouldContainExactly listOf(text to 7L)
        }

        it("without an id have none, also after one that had (guards against resuming at a wrong event)") {
            parse("id: 1\ndata: a\n\ndata: b\n\n").first.last().second shouldBe null
        }
    }

    describe("an event that breaks off") {
        it("does not come out and is noticed (guards against half events and streams that look complete)") {
            val (events, broken) = parse("id: 1\ndata: a\n\nid: 2\nda")
            events.size shouldBe 1
            broken shouldBe true
        }
    }
})
