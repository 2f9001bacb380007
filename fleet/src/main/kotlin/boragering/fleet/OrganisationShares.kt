package boragering.fleet

import boragering.core.DecayingSum
import boragering.core.OrganisationName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What each organisation has recently had of the capacity of one service and model, by this gateway and those from
 * which it hears. The organisations have equal shares; an organisation that is served much less often than all comes
 * first nevertheless, so that one with a large demand is not shut out. Times are of the monotonic clock. Not
 * thread-safe.
 */
class OrganisationShares {
    private val own = RecentMap<OrganisationName?, ServiceCount>(MAX_ORGANISATIONS)
    private val ownTotal = ServiceCount()
    private var activeCount = 1
    private var activeCountedAt = -COUNT_INTERVAL

    /** The counts of other gateways. */
    val peers = PeerOrganisationCounts()

    /** The requests asked for, and those of them that were sent to a target. */
    private class ServiceCount {
        private val asked = DecayingSum(MEMORY)
        private val served = DecayingSum(MEMORY)

        fun add(asked: Double, served: Double, now: Duration) {
            this.asked.add(now, asked)
            this.served.add(now, served)
        }

        fun asked(now: Duration): Double = asked.value(now)

        fun served(now: Duration): Double = served.value(now)
    }

    /** Records a request of [organisation]; repetitions are not recorded, so that they do not raise its claim. */
    fun recordRequest(organisation: OrganisationName?, now: Duration) = record(organisation, 1.0, 0.0, now)

    /** Records that a request of [organisation] was sent to a target. */
    fun recordServed(organisation: OrganisationName?, now: Duration) = record(organisation, 0.0, 1.0, now)

    /** The rank of [organisation] at [now]; the organisation with the lowest one is next. */
    fun rank(organisation: OrganisationName?, now: Duration): Double {
        val relative = relativeService(organisation, now)
        return if (relative < LOWEST_RELATIVE_SERVICE) relative - 1 else served(organisation, now)
    }

    /** Whether [organisation] has had more than its share at [now], which others lack while capacity is short. */
    fun exceeded(organisation: OrganisationName?, now: Duration): Boolean {
        val allServed = ownTotal.served(now) + peers.total.served
        return served(organisation, now) > allServed / activeOrganisations(now) + BURST &&
            relativeService(organisation, now) >= LOWEST_RELATIVE_SERVICE
    }

    /** The counts of this gateway, those of the [limit] organisations that asked most first. */
    fun ownCounts(limit: Int, now: Duration): List<OrganisationCount> =
        own.keys.filterNotNull()
            .map { OrganisationCount(it, checkNotNull(own[it]).asked(now), checkNotNull(own[it]).served(now)) }
            .filter { it.asked >= SMALLEST_COUNT }
            .sortedByDescending { it.asked }
            .take(limit)

    /** How often [organisation] is served, relative to all; 1 if that is not known. */
    private fun relativeService(organisation: OrganisationName?, now: Duration): Double {
        val asked = (own[organisation]?.asked(now) ?: 0.0) + (peers[organisation]?.asked ?: 0.0)
        val allAsked = ownTotal.asked(now) + peers.total.asked
        val allServed = ownTotal.served(now) + peers.total.served
        if (asked < FEWEST_REQUESTS || allServed <= 0.0) return 1.0
        return (served(organisation, now) / asked) / (allServed / allAsked)
    }

    private fun served(organisation: OrganisationName?, now: Duration): Double =
        (own[organisation]?.served(now) ?: 0.0) + (peers[organisation]?.served ?: 0.0)

    private fun activeOrganisations(now: Duration): Int {
        if (now - activeCountedAt >= COUNT_INTERVAL) {
            activeCountedAt = now
            val active = own.keys.filter { checkNotNull(own[it]).asked(now) >= SMALLEST_COUNT } + peers.organisations
            activeCount = active.distinct().size.coerceAtLeast(1)
        }
        return activeCount
    }

    private fun record(organisation: OrganisationName?, asked: Double, served: Double, now: Duration) {
        val count = own[organisation] ?: ServiceCount()
        count.add(asked, served, now)
        own[organisation] = count
        ownTotal.add(asked, served, now)
    }

    private companion object {
        const val MAX_ORGANISATIONS = 256
        val MEMORY = 10.seconds

        /**
         * Service of an organisation, relative to that of all, below which it comes first. The required minimum is
         * 0.25; the rest allows for the delay with which the counts follow a change.
         */
        const val LOWEST_RELATIVE_SERVICE = 0.4

        /** Requests below which the relative service of an organisation says nothing. */
        const val FEWEST_REQUESTS = 4.0

        /** Recent requests below which an organisation no longer counts. */
        const val SMALLEST_COUNT = 0.5

        /** Requests beyond its share that an organisation may have had. */
        const val BURST = 2.0
        val COUNT_INTERVAL = 500.milliseconds
    }
}
