package boragering.gateway

import boragering.fleet.InstanceStart

/** Marks targets that seem to have failed, and tells other gateways of failed groups. Used on the event loop only. */
internal class TargetSuspicions(private val state: GatewayState) {
    /** Marks the target of [attempt] as suspected, and reports it to other gateways if it was not suspected before. */
    fun suspect(attempt: TargetAttempt) {
        if (!attempt.usage.markSuspected(state.now())) return
        state.log.event("target-suspected", "target" to attempt.target.head, "group" to attempt.target.group)
        if (attempt.target.group != null) state.ports.peers.onSuspicion(attempt.target.head)
    }

    /** Handles a 421 response: another instance has the address of the target, or the target's group has ended. */
    fun onMisdirected(attempt: TargetAttempt) {
        attempt.usage.markAway(state.now())
        state.log.event("target-away", "target" to attempt.target.head, "group" to attempt.target.group)
        if (attempt.target.group != null) state.ports.peers.onSuspicion(attempt.target.head)
    }

    /**
     * Marks the target with the head instance [head] as suspected because another gateway does, unless this gateway has
     * received data from it just now. A gateway without streams from a target cannot detect its failure itself.
     */
    fun onPeerSuspicion(head: InstanceStart) {
        val target = state.targets.all.firstOrNull { it.head == head } ?: return
        val usage = state.usages.of(target)
        if (!usage.recentlyActive(state.now())) usage.markSuspected(state.now())
    }
}
