package boragering.core.groups

import boragering.core.DaemonId
import boragering.core.FabricDomain
import boragering.core.GroupSummary
import boragering.core.membership.PeerMessage
import boragering.core.membership.holders

/** Sends group summaries to holders, and echoes to planners so that the age of their summaries can be bounded. */
internal class SummarySender(
    private val ports: ControllerPorts,
    private val state: ControllerState,
    private val tracker: InstanceTracker,
    private val settings: ControllerSettings,
) {
    private val self get() = state.peers.self.daemon
    private val transitions = GroupTransitionRecorder(ports.timeline)

    /** Sends an echo to the planner of each domain in which this daemon holds groups. */
    fun sendEchoes() {
        val echo = state.echoes.next()
        state.health.heldGroups.planners(state.peers)
            .filter { it != self }
            .forEach { ports.link.send(it, echo) }
    }

    /** Evaluates the groups of [domains], records the evidence, and sends each group's holders a summary. */
    fun send(domains: Set<FabricDomain>, list: LiveListSnapshot?) {
        // Echoes are read before ages are computed, so that a pause in between makes summaries look older, not younger.
        val echoes = state.peers.live.associate { it.daemon to state.echoes.highest(it.daemon) }
        val byHolder = HashMap<DaemonId, MutableList<GroupSummary>>()
        val groups = domains.flatMap { state.divisions.current()[it]?.groups.orEmpty() }
        transitions.retain(groups.mapTo(HashSet()) { it.id })
        domains.forEach { domain ->
            state.divisions.current()[domain]?.groups.orEmpty().forEach { group ->
                summarise(domain, group, list, byHolder)
            }
        }
        byHolder.forEach { (holder, summaries) ->
            echoes[holder]?.let { ports.link.send(holder, PeerMessage.GroupSummaries(it, summaries)) }
        }
    }

    private fun summarise(
        domain: FabricDomain,
        group: Group,
        list: LiveListSnapshot?,
        byHolder: HashMap<DaemonId, MutableList<GroupSummary>>,
    ) {
        val evidence = group.evidence(tracker::report) { list?.leaving(it) ?: false } ?: return
        state.health.observe(evidence)
        val now = ports.clock.monotonic()
        transitions.update(group, evidence.whole && now - evidence.at <= settings.planning.evidenceLimit)
        val summary = evidence.summary(domain, now)
        state.peers.holders(group.id, settings.holdersPerGroup)
            .filter { it.daemon != self }
            .forEach { byHolder.getOrPut(it.daemon) { ArrayList() } += summary }
    }
}
