package boragering.gateway

import boragering.core.DaemonId
import boragering.core.membership.Peers
import boragering.core.membership.ranked
import boragering.fleet.SharedPart

/** The few gateways that judge each prompt part, by rendezvous hashing, so that they get all reports about it. */
internal class QuarantineJudges(private val peers: Peers) {
    /** The other live gateways. */
    val others: List<DaemonId> get() = peers.live.map { it.daemon }.filter { it != peers.self.daemon }

    /** The other gateways among the judges of [parts]. */
    fun of(parts: List<SharedPart>): Set<DaemonId> = parts.flatMap(::ranked).toSet() - peers.self.daemon

    /** This gateway's place among the judges of [part], the first being 0; [COUNT] if it is none of them. */
    fun rank(part: SharedPart): Int = ranked(part).indexOf(peers.self.daemon).takeIf { it >= 0 } ?: COUNT

    private fun ranked(part: SharedPart): List<DaemonId> =
        peers.ranked(QuarantineDocument.key(part), COUNT).map { it.daemon }

    companion object {
        /** Number of judges of each part. */
        const val COUNT = 4
    }
}
