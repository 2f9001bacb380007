package boragering.gateway

import arrow.core.flatMap
import boragering.core.DaemonId
import boragering.core.StoreRevision
import boragering.core.SwapOutcome
import boragering.core.membership.PeerMessage
import boragering.fleet.PromptQuarantine
import boragering.fleet.SharedPart
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Makes quarantines known: to all live gateways by one message each, and to later ones by a document of the store. The
 * judges of a part do so one after the other, each only if the document is still missing. Used on the event loop only.
 */
internal class QuarantinePublisher(
    private val ports: QuarantineExchangePorts,
    private val judges: QuarantineJudges,
    private val quarantined: () -> Collection<SharedPart>,
) {
    private val scope = CoroutineScope(SupervisorJob() + ports.loop.dispatcher)
    private val publications = HashMap<SharedPart, Publication>()
    private var stepScheduled = false

    /** Whether no check for missing documents is due. */
    val settled: Boolean get() = !stepScheduled

    /** Makes the quarantine of [part] known, at once if this gateway is the first of its judges. */
    fun publish(part: SharedPart) {
        publications.getOrPut(part) { Publication(ports.loop.now()) }
        schedule(if (judges.rank(part) == 0) Duration.ZERO else STEP_INTERVAL)
    }

    /** Checks whether a document has to be written again, because one has disappeared. */
    fun onDocumentRemoved() {
        publications.values.forEach { it.missingSince = ports.loop.now() }
        schedule(STEP_INTERVAL)
    }

    /** Tells [gateway], which has just reported a crash, which of [parts] are in quarantine. */
    fun remind(gateway: DaemonId, parts: Collection<SharedPart>) {
        val known = quarantined().toSet()
        parts.filter { it in known }.forEach { ports.link.send(gateway, message(it, sinceCrash = Duration.ZERO)) }
    }

    /** Removes the document about [part], whose quarantine has ended. */
    fun withdraw(part: SharedPart) {
        publications.remove(part)
        val document = ports.mirror[QuarantineDocument.key(part)] ?: return
        scope.launch {
            val outcome = ports.store.compareAndDelete(document.key, document.revision)
            ports.log.event("quarantine-removed", "part" to part, "outcome" to outcome.fold({ it.reason }, { "$it" }))
        }
    }

    private fun schedule(delay: Duration) {
        if (stepScheduled) return
        stepScheduled = true
        ports.loop.after(delay, ::step)
    }

    private fun step() {
        val now = ports.loop.now()
        stepScheduled = false
        publications.keys.retainAll(quarantined().toSet())
        val missing = publications.filter { (part, _) -> ports.mirror[QuarantineDocument.key(part)] == null }
        missing.forEach { (part, publication) ->
            if (now - publication.missingSince >= STEP_INTERVAL * judges.rank(part)) announce(part, publication, now)
        }
        if (missing.isNotEmpty()) schedule(STEP_INTERVAL)
    }

    private fun announce(part: SharedPart, publication: Publication, now: Duration) {
        val message = message(part, sinceCrash = now - publication.since)
        judges.others.filter(publication.told::add).forEach { ports.link.send(it, message) }
        if (publication.writtenAt.let { it != null && now - it < WRITE_INTERVAL }) return
        publication.writtenAt = now
        scope.launch { write(part) }
    }

    private fun message(part: SharedPart, sinceCrash: Duration) =
        PeerMessage.PromptPartQuarantined(part.service.value, part.part.id, sinceCrash.inWholeMilliseconds)

    private suspend fun write(part: SharedPart) {
        val key = QuarantineDocument.key(part)
        val outcome = ports.store.grantLease(PromptQuarantine.QUARANTINE_TIME).flatMap { lease ->
            ports.store.compareAndSwap(key, StoreRevision.NONE, QuarantineDocument.encode(part), lease)
                .also { if (it.getOrNull() is SwapOutcome.Conflict) ports.store.revokeLease(lease) }
        }
        ports.log.event("quarantine-written", "part" to part, "outcome" to outcome.fold({ it.reason }, { "$it" }))
    }

    /** The progress of making a quarantine known, which began at [since]. */
    private class Publication(val since: Duration) {
        var missingSince = since
        val told = HashSet<DaemonId>()
        var writtenAt: Duration? = null
    }

    private companion object {
        /** Time that each judge leaves to the one before it. */
        val STEP_INTERVAL = 300.milliseconds

        /** Shortest time between two attempts to write a document. */
        val WRITE_INTERVAL = 2.seconds
    }
}
