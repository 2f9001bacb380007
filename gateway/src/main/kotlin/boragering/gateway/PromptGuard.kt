package boragering.gateway

import boragering.fleet.PromptQuarantine
import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/**
 * Keeps requests whose prompts crash targets from them, by what this gateway and others have seen. Used on the event
 * loop only.
 */
internal class PromptGuard(private val ports: GatewayPorts) : PromptReports {
    private val quarantine = PromptQuarantine()
    private val link: QuarantineLink get() = ports.peers.quarantines()

    override val quarantined: PersistentList<SharedPart> get() = quarantine.quarantined(now())

    /** Detects crashes of targets. */
    val crashDetector = CrashDetector(::onCrash)

    /** Time for which requests with [parts] have to stay away from targets; `null` if they may be sent. */
    fun waitTime(parts: List<SharedPart>): Duration? = quarantine.waitTime(parts, now(), link::mayTry)

    /**
     * Whether a request with [parts], during which [lostConnections] connections to targets were lost, may be sent to
     * another target although it may be the cause.
     */
    fun mayRepeat(parts: List<SharedPart>, lostConnections: Int): Boolean = when {
        quarantine.holds(parts, now()) -> false
        lostConnections == 0 -> true
        else -> lostConnections < MAX_LOST_CONNECTIONS && quarantine.mayFollowLoss(parts, now())
    }

    /** Records that a target has answered a request with [parts] completely. */
    fun onAnswered(parts: List<SharedPart>) =
        quarantine.recordAnswer(parts, now()).forEach { part ->
            ports.log.event("prompt-part-released", "part" to part, "reason" to "a request with it was answered")
            link.reportAnswered(part)
        }

    override fun onPeerCrash(crash: TargetCrash) = judge(crash)

    override fun onPeerQuarantine(part: SharedPart, sinceCrash: Duration) {
        val known = part in quarantined
        when {
            !quarantine.adopt(part, sinceCrash, now()) -> link.reportAnswered(part)
            !known -> recordQuarantine(part, "reported by another gateway")
        }
    }

    override fun onPeerAnswer(part: SharedPart) {
        if (part in quarantined) {
            ports.log.event("prompt-part-released", "part" to part, "reason" to "another gateway saw an answer")
        }
        quarantine.release(part)
    }

    /** Handles a crash that this gateway saw. */
    fun onCrash(crash: TargetCrash) {
        ports.metrics.recordTargetCrash()
        ports.log.event(
            "target-crashed",
            "target" to crash.target,
            "requests" to crash.lost.size,
            "parts" to crash.lost.flatMapTo(LinkedHashSet()) { it.parts }.take(MAX_LOGGED_PARTS),
        )
        val annotated = quarantine.annotate(crash)
        link.reportCrash(annotated)
        judge(annotated)
    }

    private fun judge(crash: TargetCrash) =
        quarantine.recordCrash(crash).forEach { part ->
            recordQuarantine(part, "lost in the crash of ${crash.target}")
            link.onQuarantined(part)
        }

    private fun recordQuarantine(part: SharedPart, reason: String) {
        ports.metrics.recordQuarantine()
        ports.log.event("prompt-part-quarantined", "part" to part, "reason" to reason)
    }

    private fun now(): Duration = ports.loop.now()

    private companion object {
        const val MAX_LOGGED_PARTS = 24

        /** Number of lost connections after which a request is not sent again. */
        const val MAX_LOST_CONNECTIONS = 2
    }
}
