package boragering.gateway

import boragering.fleet.InstanceStart
import boragering.fleet.RateShare

/** Divides the rates that targets take among the gateways. Used on the event loop only. */
interface RateLink {
    /** This gateway's share of the rate of the target [head] if at most [maxHolders] gateways share it. */
    fun share(head: InstanceStart, maxHolders: Int): RateShare

    /** Tells all gateways that the target [head] no longer limits the rate of its requests. */
    fun reportEnd(head: InstanceStart)

    /** The link of a gateway that is alone. */
    object None : RateLink {
        override fun share(head: InstanceStart, maxHolders: Int) = RateShare(holders = 1, gateways = 1, holding = true)

        override fun reportEnd(head: InstanceStart) = Unit
    }
}
