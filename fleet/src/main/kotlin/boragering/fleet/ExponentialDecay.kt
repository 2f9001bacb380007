package boragering.fleet

import kotlin.math.exp
import kotlin.time.Duration

/** A weight that falls with age: what is as old as [memory] has lost all but 1/e of it. */
internal class ExponentialDecay(private val memory: Duration) {
    /** The weight, at most 1, of what is [age] old. A negative age counts as none. */
    fun weight(age: Duration): Double = exp(-(age / memory).coerceAtLeast(0.0))
}
