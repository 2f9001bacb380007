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
        it("are passed on byte for byte with their ids (guards against altered answers)") {
            val (events, broken) = parse("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
            events shouldContainExactly listOf("id: 1\ndata: a\n\n" to 1L, "id: 2\r\ndata: b\r\n\r\n" to 2L)
            broken shouldBe false
        }

        it("are found wherever the bytes are split (guards against events lost at packet boundaries)") {
            val text = "id: 7\ndata: x\n\n"
            val (events, _) = parse(*text.map { it.toString() }.toTypedArray())
            events shouldContainExactly listOf(text to 7L)
        }

        it("do not inherit the id of the previous event (guards against resuming at the wrong event)") {
            parse("id: 1\ndata: a\n\ndata: b\n\n").first.last().second shouldBe null
        }
    }

    describe("a truncated event") {
        it("is detected and not passed on (guards against partial events and streams that look complete)") {
            val (events, broken) = parse("id: 1\ndata: a\n\nid: 2\nda")
            events.size shouldBe 1
            broken shouldBe true
        }
    }
})
