package boragering.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun List<AdmissionDay>.served(select: (AdmissionDay.Caller) -> Boolean = { true }) =
    sumOf { it.tally(select).servedShare } / size

private fun List<AdmissionDay>.onTime(select: (AdmissionDay.Caller) -> Boolean = { true }) =
    sumOf { it.tally(select).onTimeShare } / size

/** Demand above the capacity of three groups, by kinds of different urgency and organisations of different size. */
class AdmissionDayTest : DescribeSpec({
    val urgent = { caller: AdmissionDay.Caller -> caller.kind.urgency == 1 }
    val organisations = (0..7).map { "o$it" }

    listOf(1, 6, 40).forEach { gateways ->
        describe("a less urgent kind at 2.6 times its usual rate, at $gateways gateways") {
            val days = AdmissionDay.play(AdmissionLoad(kindFactor = 2.6), gateways)

            it("leaves the more urgent kind its capacity (guards against capacity for whoever comes first)") {
                days.served(urgent) shouldBeGreaterThan 0.7
                days.served(urgent) shouldBeGreaterThan days.served { !urgent(it) } * 1.5
                days.onTime(urgent) shouldBeGreaterThan days.onTime { !urgent(it) } * 1.5
            }

            it("serves as many as without an order (guards against reserves that stay unused)") {
                val unordered = AdmissionDay.play(AdmissionLoad(kindFactor = 2.6, shared = false), gateways)
                days.served() shouldBeGreaterThan unordered.served() * 0.85
                days.onTime() shouldBeGreaterThan unordered.onTime() * 0.85
            }

            it("does not keep callers waiting for long (guards against requests held until their deadlines)") {
                days.sumOf { it.queued } shouldBeGreaterThan 0
                days.maxOf { it.longestWait } shouldBeLessThan 300.milliseconds
            }
        }

        describe("an organisation at 7.5 times its usual rate, at $gateways gateways") {
            val days = AdmissionDay.play(AdmissionLoad(organisationFactor = 7.5), gateways)

            it("is served less often than the others (guards against one that takes the capacity of all)") {
                val large = days.served { it.organisation.value == "o0" }
                days.served { it.organisation.value != "o0" } shouldBeGreaterThan large * 1.15
            }

            it("leaves no organisation without service (guards against strict shares that shut one out)") {
                val least = organisations.minOf { name -> days.served { it.organisation.value == name } }
                least shouldBeGreaterThan days.served() * 0.4
            }
        }

        describe("callers that repeat at once, at $gateways gateways") {
            val days = AdmissionDay.play(AdmissionLoad(kindFactor = 2.6, repeaters = 0.3), gateways)

            it("get no more than those that come back as told (guards against a reward for repeating)") {
                days.served { it.repeats } shouldBeLessThan days.served { !it.repeats } * 1.05
            }
        }

        describe("callers that wait for 6.8 to 8 s, at $gateways gateways") {
            val days = AdmissionDay.play(AdmissionLoad(patienceSpread = 0.15), gateways)

            it("are answered on time alike (guards against first attempts taken for repetitions)") {
                val impatient = days.onTime { it.patience < 7.4.seconds }
                val patient = days.onTime { it.patience >= 7.4.seconds }
                patient shouldBeGreaterThan impatient * 0.9
                impatient shouldBeGreaterThan patient * 0.9
            }
        }

        describe("callers that arrive late, at $gateways gateways") {
            val loads = listOf(
                AdmissionLoad(late = 0.3),
                AdmissionLoad(kindFactor = 2.6, late = 0.3),
                AdmissionLoad(organisationFactor = 7.5, late = 0.3),
                AdmissionLoad(kindFactor = 2.6, repeaters = 0.3, late = 0.3),
            )

            it("are served nearly as often as others (guards against a late connection taken for a repetition)") {
                val relative = loads.map { load ->
                    val days = AdmissionDay.play(load, gateways)
                    days.served { it.late && !it.repeats } / days.served { !it.late && !it.repeats }
                }
                relative.min() shouldBeGreaterThanOrEqual 0.9
            }
        }
    }
})
