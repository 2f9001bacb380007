package boragering.core.timeline

import boragering.core.DaemonId
import kotlinx.serialization.Serializable

/**
 * A timestamp of a hybrid logical clock: wall-clock [milliseconds] since the Unix epoch, a [counter] that orders equal
 * milliseconds, and the [daemon] that issued it. The order is total and respects causality between daemons.
 */
@Serializable
data class HybridTime(val milliseconds: Long, val counter: Int, val daemon: DaemonId) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER = compareBy<HybridTime>({ it.milliseconds }, { it.counter }, { it.daemon.value })
    }
}
