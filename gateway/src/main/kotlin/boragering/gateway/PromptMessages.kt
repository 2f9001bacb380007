package boragering.gateway

import boragering.core.membership.LostPrompt
import boragering.core.membership.PeerMessage
import boragering.fleet.InstanceStart
import boragering.fleet.LostRequest
import boragering.fleet.PromptPart
import boragering.fleet.ServiceName
import boragering.fleet.SharedPart
import boragering.fleet.TargetCrash
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Converts reports of lost prompts to messages between gateways and back. Messages hold ages, since clocks differ. */
internal object PromptMessages {
    /** Largest number of lost requests that one message reports. */
    const val MAX_LOST_PROMPTS = 16

    /** The message that reports at [now] that [lost] requests of [crash] were lost. */
    fun encode(crash: TargetCrash, lost: List<LostRequest>, now: Duration) = PeerMessage.PromptCrash(
        target = crash.target.id,
        startedAt = crash.target.startedAtMilliseconds,
        service = crash.service.value,
        ageMilliseconds = (now - crash.at).inWholeMilliseconds,
        lost = lost.take(MAX_LOST_PROMPTS).map { request ->
            LostPrompt(
                parts = request.parts.map { it.id },
                proven = request.proven.map { it.id },
                ageMilliseconds = (now - request.sentAt).inWholeMilliseconds,
            )
        },
    )

    /** The crash that [message], which arrived at [now], reports. */
    fun decode(message: PeerMessage.PromptCrash, now: Duration) = TargetCrash(
        target = InstanceStart(message.target, message.startedAt),
        service = ServiceName(message.service),
        at = now - message.ageMilliseconds.milliseconds,
        lost = message.lost.take(MAX_LOST_PROMPTS).map { prompt ->
            LostRequest(
                parts = parts(prompt.parts),
                sentAt = now - prompt.ageMilliseconds.milliseconds,
                proven = parts(prompt.proven),
            )
        }.toPersistentList(),
    )

    /** The part with the id [part] of prompts that are sent to [service]. */
    fun part(service: String, part: String) = SharedPart(ServiceName(service), PromptPart(part))

    private fun parts(ids: List<String>) =
        ids.take(PromptPart.MAX_SHARED_PARTS).map(::PromptPart).toPersistentList()
}
