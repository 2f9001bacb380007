package boragering.core.groups

import boragering.core.FabricDomain
import kotlinx.coroutines.CoroutineScope

/** Polls the members of held groups while their planner's summaries are missing. */
internal class HolderPoller(
    private val state: ControllerState,
    private val tracker: InstanceTracker,
    private val poller: InstancePoller,
    private val settings: ControllerSettings,
) {
    /** Polls the members of held groups outside [planned] whose evidence is too old, and evaluates the groups. */
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
