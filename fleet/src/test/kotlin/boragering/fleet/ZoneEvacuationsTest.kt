package boragering.fleet

import boragering.core.AvailabilityZone
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ZoneEvacuationsTest : DescribeSpec({
    val zone = AvailabilityZone("a")
    val evacuated = ZoneEvacuations().evacuate(zone, 1.seconds)

    describe("an evacuated zone") {
        it("stays evacuated since the first time (guards against a time that each rewriting of the key resets)") {
            evacuated.evacuate(zone, 5.seconds).since[zone] shouldBe 1.seconds
        }

        it("stays evacuated until the deadline for its return (guards against requests after a restore)") {
            val kept = evacuated.reopen(zone, 9.seconds, deadline = 11.seconds)
            kept.expire(10_999.milliseconds).zones shouldContainExactly setOf(zone)
            kept.expire(11.seconds).zones.shouldBeEmpty()
            kept.evacuate(zone, 10.seconds).expire(20.seconds).zones shouldContainExactly setOf(zone)
        }
    }
})
