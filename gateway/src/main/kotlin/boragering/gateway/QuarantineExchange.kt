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
    private val recentAnswers = RecentAnswers(ports.loop::now)

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
        recentAnswers.add(part)
        val message = PeerMessage.PromptPartAnswered(part.service.value, part.part.id)
        judges.others.forEach { ports.link.send(it, message) }
        publisher.withdraw(part)
    }

    override fun mayTry(part: SharedPart): Boolean = judges.rank(part) == 0

    /** Handles a message of the gateway [from]; messages of other components are ignored. */
    fun handle(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.PromptCrash -> judge(from, PromptMessages.decode(message, ports.loop.now()))
            is PeerMessage.PromptPartQuarantined -> adopt(
                PromptMessages.part(message.service, message.part),
                message.sinceCrashMilliseconds.milliseconds,
            )
            is PeerMessage.PromptPartAnswered -> {
                val part = PromptMessages.part(message.service, message.part)
                recentAnswers.add(part)
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
        if (!QuarantineDocument.isKey(change.key)) return
        when (change) {
            is DocumentChange.Written -> applyDocument(change)
            is DocumentChange.Removed -> publisher.onDocumentRemoved()
        }
    }

    private fun applyDocument(change: DocumentChange.Written) {
        val part = QuarantineDocument.decode(change.document)
            .onLeft { ports.log.event("quarantine-unreadable", "key" to change.key, "reason" to it) }
            .getOrNull()
            ?: return
        if (part in recentAnswers) publisher.withdraw(part) else adopt(part, sinceCrash = Duration.ZERO)
    }

    private fun judge(reporter: DaemonId, crash: TargetCrash) {
        reports().onPeerCrash(crash)
        // A reporter that knew of a quarantine would not have sent the request.
        publisher.remind(reporter, crash.lost.flatMap { SharedPart.of(crash.service, it.parts) }.toSet())
    }

    private fun adopt(part: SharedPart, sinceCrash: Duration) {
        if (part in recentAnswers) return
        reports().onPeerQuarantine(part, sinceCrash)
        if (judges.rank(part) < QuarantineJudges.COUNT) publisher.publish(part)
    }
}

/** The parts that were answered lately, of which documents from before the answer may still arrive. */
private class RecentAnswers(private val now: () -> Duration) {
    private val answeredAt = HashMap<SharedPart, Duration>()

    fun add(part: SharedPart) {
        answeredAt.values.removeIf { now() - it > MEMORY }
        answeredAt[part] = now()
    }

    operator fun contains(part: SharedPart): Boolean = answeredAt[part].let { it != null && now() - it <= MEMORY }

    private companion object {
        /** Documents from before an answer also return when the store is restored from a backup. */
        val MEMORY = 60.seconds
    }
}
