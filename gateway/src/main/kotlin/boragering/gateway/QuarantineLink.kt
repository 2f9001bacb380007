package boragering.gateway

import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash

/** Shares with other gateways what this one learns of prompt parts that crash targets. Used on the event loop only. */
interface QuarantineLink {
    /** Tells gateways that judge the lost parts of [crash]. */
    fun reportCrash(crash: TargetCrash)

    /** Called when this gateway has put [part] into quarantine. */
    fun onQuarantined(part: SharedPart)

    /** Tells all gateways that requests with [part] are answered, so that its quarantine ends. */
    fun reportAnswered(part: SharedPart)

    /** Whether this gateway is the one that may send trial requests with [part]. */
    fun mayTry(part: SharedPart): Boolean

    /** The link of a gateway that is alone. */
    object None : QuarantineLink {
        override fun reportCrash(crash: TargetCrash) = Unit

        override fun onQuarantined(part: SharedPart) = Unit

        override fun reportAnswered(part: SharedPart) = Unit

        override fun mayTry(part: SharedPart): Boolean = true
    }
}
