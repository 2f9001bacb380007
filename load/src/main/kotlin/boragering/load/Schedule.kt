package boragering.load

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One intended request; [at] is counted from the start of the run, [daemon] from 0. */
data class Arrival(
    val at: Duration,
    val organisation: String,
    val long: Boolean,
    val urgent: Boolean,
    val prefix: Int?,
    val daemon: Int,
    val measured: Boolean,
)

/** Draws the arrivals of [workload], a Poisson process whose rate follows the phases. The same seed gives the same. */
class Schedule(private val workload: Workload) {
    private val random = Random(workload.seed)
    private val owners = workload.organisations.flatMap { owner -> List(owner.share) { owner.name } }

    /** All arrivals in order. */
    fun arrivals(): List<Arrival> {
        val arrivals = mutableListOf<Arrival>()
        var start = 0.0
        for (phase in workload.phases) {
            // Thinning: candidates arrive at the phase's highest rate and are kept with the present part of it.
            val highest = maxOf(phase.from, phase.to) * workload.capacity
            var offset = gap(highest)
            while (offset < phase.seconds) {
                val share = phase.from + (phase.to - phase.from) * offset / phase.seconds
                if (random.nextDouble() * highest < share * workload.capacity) {
                    arrivals += arrival((start + offset).seconds, phase.measured)
                }
                offset += gap(highest)
            }
            start += phase.seconds
        }
        return arrivals
    }

    private fun gap(rate: Double): Double =
        if (rate > 0) -ln(1 - random.nextDouble()) / rate else Double.POSITIVE_INFINITY

    private fun arrival(at: Duration, measured: Boolean): Arrival {
        val mix = workload.requests
        val prefix = if (random.nextDouble() < mix.prefixShare) random.nextInt(mix.sharedPrefixes) else null
        return Arrival(
            at,
            owners.random(random),
            random.nextDouble() < mix.longShare,
            random.nextDouble() < mix.urgentShare,
            prefix,
            random.nextInt(workload.deployment.zones.size),
            measured,
        )
    }
}
