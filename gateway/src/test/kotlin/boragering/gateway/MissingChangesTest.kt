package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class MissingChangesTest : DescribeSpec({
    describe("changes that the store left out") {
        it("are read at once (guards against changes that are missed for good)") {
            val changes = MissingChanges()
            changes.update(missing = true, now = 10.seconds)
            changes.readDue(10.seconds) shouldBe true
        }

        it("are read 0.6 s apart (guards against a store that is read all the time)") {
            val changes = MissingChanges()
            changes.update(missing = true, now = 10.seconds)
            changes.onReadEnd(10.seconds)
            changes.readDue(10.5.seconds) shouldBe false
            changes.readDue(10.7.seconds) shouldBe true
        }

        it("are read again until they are known (guards against a gap that is forgotten when its read fails)") {
            val changes = MissingChanges()
            (10..20).map { it.seconds }.forEach { now ->
                changes.update(missing = true, now = now)
                changes.readDue(now) shouldBe true
                changes.onReadEnd(now)
            }
        }

        it("shorten the time that a call waits (guards against a read that comes late)") {
            val changes = MissingChanges()
            changes.limit(2.seconds) shouldBe 2.seconds
            changes.update(missing = true, now = 10.seconds)
            changes.limit(2.seconds) shouldBe 0.6.seconds
        }

        it("are told once when they are known, with the time that it took (guards against a log without the end)") {
            val changes = MissingChanges()
            changes.update(missing = true, now = 10.seconds).shouldBeNull()
            changes.update(missing = true, now = 11.seconds).shouldBeNull()
            changes.update(missing = false, now = 12.seconds) shouldBe 2.seconds
            changes.update(missing = false, now = 13.seconds).shouldBeNull()
        }
    }

    describe("a store that leaves out nothing") {
        it("is not read again (guards against needless reads)") {
            val changes = MissingChanges()
            changes.update(missing = false, now = 10.seconds)
            changes.readDue(10.seconds) shouldBe false
        }
    }
})
