package boragering.core.groups

import boragering.core.FabricDomain
import kotlinx.coroutines.CoroutineScope

/** Polls the members of held groups when their planner's summaries do not arrive. */
internal class HolderPoller(
    private val state: ControllerState,
    private val tracker: InstanceTracker,
    private val poller: InstancePoller,
    private val settings: ControllerSettings,
) {
    /**
     * Polls the members of the active held groups outside [planned] whose evidence is missing or older than
     * [ControllerSettings.holderPollAfter], and records the groups' health.
     */
    suspend fun poll(scope: CoroutineScope, planned: Set<FabricDomain>, list: LiveListReader) {
        val stale = state.health.heldGroups.all
            .filter { it.domain !in planned && it.group.phase == GroupPhase.Active }
            .map { it.group }
            .filter { group -> state.health.evidenceAge(group)?.let { it > settings.holderPollAfter } ?: true }
        if (stale.isEmpty()) return
        val members = stale.flatMap { it.members }.map { PollTarget(it.instance, it.address) }
        poller.poll(scope, members, settings.maxPollWait)
        stale.forEach { group ->
            group.evidence(tracker::report) { list.current?.leaving(it) ?: false }?.let(state.health::observe)
        }
    }
}
