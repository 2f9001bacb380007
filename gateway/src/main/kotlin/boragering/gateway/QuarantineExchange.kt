package boragering.gateway

import boragering.core.DaemonId
import boragering.core.Store
import boragering.core.membership.PeerLink
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Dependencies of a [QuarantineExchange]. */
class QuarantineExchangePorts(
    val peers: Peers,
    val link: PeerLink,
    val store: Store,
    val mirror: DocumentMirror,
    val loop: GatewayLoop,
    val log: DecisionLog,
)

/**
 * Shares between gateways which prompt parts crash targets. Crashes are reported to the judges of the lost parts. A
 * quarantine is sent to all gateways and written to the store, from where gateways read it also after a restart. Used
 * on the event loop only.
 */
class QuarantineExchange(private val ports: QuarantineExchangePorts, private val reports: () -> PromptReports) :
    QuarantineLink {
    private val judges = QuarantineJudges(ports.peers)
    private val publisher = QuarantinePublisher(ports, judges) { reports().quarantined }
    private val answeredAt = HashMap<SharedPart, Duration>()

    /** Whether this gateway has nothing to make known. */
    internal val settled: Boolean get() = publisher.settled

    override fun reportCrash(crash: TargetCrash) {
        crash.lost.take(PromptMessages.MAX_LOST_PROMPTS)
            .flatMap { request -> judges.of(SharedPart.of(crash.service, request.parts)).map { it to request } }
            .groupBy({ it.first }, { it.second })
            .forEach { (judge, lost) -> ports.link.send(judge, PromptMessages.encode(crash, lost, ports.loop.now())) }
    }

    override fun onQuarantined(part: SharedPart) = publisher.publish(part)

    override fun reportAnswered(part: SharedPart) {
        recordAnswered(part)
        val message = PeerMessage.PromptPartAnswered(part.service.value, part.part.id)
        judges.others.forEach { ports.link.send(it, message) }
        publisher.withdraw(part)
    }

    override fun mayTry(part: SharedPart): Boolean = judges.rank(part) == 0

    /** Handles a message of the gateway [from]; messages of other components are ignored. */
    @Suppress("UnusedParameter")
    fun handle(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.PromptCrash -> reports().onPeerCrash(PromptMessages.decode(message, ports.loop.now()))
            is PeerMessage.PromptPartQuarantined -> adopt(
                PromptMessages.part(message.service, message.part),
                message.sinceCrashMilliseconds.milliseconds,
            )
            is PeerMessage.PromptPartAnswered -> {
                val part = PromptMessages.part(message.service, message.part)
                recordAnswered(part)
                reports().onPeerAnswer(part)
            }
            else -> Unit
        }
    }

    /**
     * Applies the change of one of the store's documents. The removal of a document releases no part, because documents
     * also disappear when their leases end during an outage of the store.
     */
    fun applyChange(change: DocumentChange) {
        if (change !is DocumentChange.Written) return
        val part = QuarantineDocument.decode(change.document)
            ?.onLeft { ports.log.event("quarantine-unreadable", "key" to change.key, "reason" to it) }
            ?.getOrNull()
            ?: return
        if (recentlyAnswered(part)) publisher.withdraw(part) else adopt(part, sinceCrash = Duration.ZERO)
    }

    private fun adopt(part: SharedPart, sinceCrash: Duration) {
        if (recentlyAnswered(part)) return
        reports().onPeerQuarantine(part, sinceCrash)
        if (judges.rank(part) < QuarantineJudges.COUNT) publisher.publish(part)
    }

    private fun recordAnswered(part: SharedPart) {
        answeredAt.values.removeIf { ports.loop.now() - it > ANSWER_MEMORY }
        answeredAt[part] = ports.loop.now()
    }

    private fun recentlyAnswered(part: SharedPart): Boolean =
        answeredAt[part].let { it != null && ports.loop.now() - it <= ANSWER_MEMORY }

    private companion object {
        /** Time within which a document that was written before an answer may still arrive. */
        val ANSWER_MEMORY = 10.seconds
    }
}
