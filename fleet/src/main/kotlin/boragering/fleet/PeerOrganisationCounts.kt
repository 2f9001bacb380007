package boragering.fleet

import boragering.core.OrganisationName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests that one organisation has recently made, and those of them that were sent to a target. */
data class OrganisationCount(val organisation: OrganisationName, val asked: Double, val served: Double)

/** The organisations' counts at other gateways, of which each one's last report counts until it expires. */
class PeerOrganisationCounts {
    private val peers = RecentMap<String, PeerCounts>(MAX_PEERS)
    private var sums = emptyMap<OrganisationName, OrganisationCount>()

    private class PeerCounts(val counts: List<OrganisationCount>, val at: Duration)

    /** The sum over all organisations. */
    internal var total = OrganisationCount(TOTAL, 0.0, 0.0)
        private set

    internal val organisations: Set<OrganisationName> get() = sums.keys

    internal operator fun get(organisation: OrganisationName?): OrganisationCount? = organisation?.let(sums::get)

    /** Replaces what is known of the gateway [peer] by [counts], which arrived at [now]. */
    fun update(peer: String, counts: List<OrganisationCount>, now: Duration) {
        peers[peer] = PeerCounts(counts, now)
        peers.removeIf { now - it.at > MEMORY }
        sum()
    }

    /** Drops the counts of gateways from which nothing was heard lately. */
    fun expire(now: Duration) {
        if (peers.values.none { now - it.at > MEMORY }) return
        peers.removeIf { now - it.at > MEMORY }
        sum()
    }

    private fun sum() {
        val all = peers.values.flatMap { it.counts }
        sums = all.groupBy { it.organisation }.mapValues { (name, counts) -> sum(name, counts) }
        total = sum(TOTAL, all)
    }

    private fun sum(name: OrganisationName, counts: List<OrganisationCount>) =
        OrganisationCount(name, counts.sumOf { it.asked }, counts.sumOf { it.served })

    private companion object {
        val TOTAL = OrganisationName("total")
        const val MAX_PEERS = 64

        /** Three intervals at which gateways send their counts. */
        val MEMORY = 6.seconds
    }
}
