package boragering.standins

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class LiveListStandInTest : DescribeSpec({
    describe("the lag") {
        it("hides a change until it is as old as the lag") {
            withStandIns {
                val time = TestTimeSource()
                val list = start(LiveListStandIn(2.seconds, time)::serve)
                put(list, "/control/instances", listing("live"))
                put(list, "/control/instances", listing("leaving"))

                time += 1999.milliseconds
                read<LiveInstances>(list, "/instances") shouldBe listing("live")
                time += 1.milliseconds
                read<LiveInstances>(list, "/instances") shouldBe listing("leaving")
            }
        }
    }

    describe("an outage") {
        it("closes connections instead of showing an empty list") {
            withStandIns {
                val list = start(LiveListStandIn(0.seconds)::serve)
                put(list, "/control/faults", LiveListFaults(outage = true))

                shouldThrow<IOException> { read<LiveInstances>(list, "/instances") }
            }
        }
    }
})

private fun listing(state: String) =
    LiveInstances(listOf(LiveInstance("e-0", "127.0.0.1:1", "gpu", "domain-a", "sapporo", state)))
