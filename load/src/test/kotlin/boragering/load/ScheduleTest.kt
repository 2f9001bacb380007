package boragering.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import java.nio.file.Path

private fun workload(name: String) = Workload.read(Path.of("workloads/$name.json"))

class ScheduleTest : DescribeSpec({
    describe("the arrivals of a workload") {
        // Guards against figures that cannot be repeated.
        it("are the same for the same seed") {
            val workload = workload("kitaspike")
            Schedule(workload).arrivals() shouldBe Schedule(workload).arrivals()
        }

        // Guards against a rate that does not follow the file, which would falsify every share of capacity.
        it("come at the rate of the measured phase") {
            val workload = workload("kitaspike")
            val phase = workload.phases.single { it.measured }
            val expected = phase.to * workload.capacity
            val rate = Schedule(workload).arrivals().count { it.measured } / phase.seconds
            rate / expected shouldBe (1.0 plusOrMinus 0.1)
        }

        // Guards against a peak that is not the one of the key metric.
        it("rise to five times the base within 2 s") {
            val phases = workload("vejradis").phases
            phases[1].seconds shouldBe 2.0
            phases[1].to / phases[0].to shouldBe (5.0 plusOrMinus 1e-9)
        }
    }
})
