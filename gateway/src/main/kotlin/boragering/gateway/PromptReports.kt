package boragering.gateway

import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** Receives what other gateways report of prompt parts that crash targets. Used on the event loop only. */
interface PromptReports {
    /** The parts that this gateway keeps from targets. */
    val quarantined: PersistentList<SharedPart>

    /** Handles a crash that another gateway reports; its times are of this gateway's monotonic clock. */
    fun onPeerCrash(crash: TargetCrash)

    /** Handles a quarantine that another gateway reports; the last crash that led to it was [sinceCrash] ago. */
    fun onPeerQuarantine(part: SharedPart, sinceCrash: Duration)

    /** Handles another gateway's report that requests with [part] are answered. */
    fun onPeerAnswer(part: SharedPart)
}
