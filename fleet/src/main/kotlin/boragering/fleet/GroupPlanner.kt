package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration

/** The orders that one planning step sends, and the [decisions] to write to the log. */
data class PlanningStep(
    val orders: PersistentList<AddressedOrder> = persistentListOf(),
    val decisions: PersistentList<PlanningDecision> = persistentListOf(),
)

/** A record of the decision log: a [decision] about [group], or about several groups, and its [reason]. */
data class PlanningDecision(val group: GroupEpoch?, val decision: String, val reason: String)

/**
 * Forms groups from the instances of one pool, opens their heads, and dissolves groups that have lost a member.
 *
 * Only one planner of a deployment acts at a time. Each composition of a group has its own id and epoch, which are
 * higher than those of earlier planners. Therefore an order that is executed late does not affect a later composition.
 * Members of a group join another one only after the group's head has left or after they have left themselves.
 * Instances in evacuated availability zones get no orders, and the pool consists of those in the other zones. Not
 * thread-safe.
 *
 * @param fence the fencing number of this planner, higher than those of all earlier planners.
 */
class GroupPlanner(fence: Long) {
    private val formations = FormationRegistry()
    private val epochs = GroupEpochs(fence)
    private val spares = SparePreparation(epochs)
    private val growth = PoolGrowthTracker()
    private val lastModels = LastModelTracker()
    private val rateLimiter = LoadRateLimiter()
    private val decisions = ArrayList<PlanningDecision>()
    private var started = false

    /** Plans the orders for the state [listed] at [now], a time of the monotonic clock. */
    fun step(listed: PoolState, now: Duration): PlanningStep {
        val state = lastModels.recall(listed)
        adopt(state, now)
        decisions += GroupSuspension(state).update(formations.known)
        val orders = formations.all.flatMap { advance(it, state, now) }
        val composed = compose(state, now)
        val recorded = decisions.toPersistentList()
        decisions.clear()
        return PlanningStep((orders + composed).toPersistentList(), recorded)
    }

    /** Records the outcome of an order that [step] returned. */
    fun recordOutcome(addressed: AddressedOrder, outcome: OrderOutcome) {
        spares.recordOutcome(addressed, outcome)
        val sent = formations[addressed.order.group]?.sent?.get(addressed.instance.id)
        if (sent?.order == addressed.order) sent.outcome = outcome
    }

    /** Returns the members of the group that [head] serves; `null` if it serves none. */
    fun servedBy(head: InstanceStart): List<Instance>? =
        formations.all.firstOrNull { it.head?.start == head && it.phase == FormationPhase.SERVING }?.members

    /** The members of groups that are being formed or dissolved. */
    val unsettled: List<Instance>
        get() = formations.all.filter { it.phase != FormationPhase.SERVING }.flatMap { it.members }

    private fun adopt(state: PoolState, now: Duration) {
        formations.adopt(state, now).forEach { adopted ->
            val members = adopted.members.joinToString { it.id.value }
            decisions += PlanningDecision(adopted.group, "group-adopted", "${adopted.model} of $members")
        }
        if (!started) {
            rateLimiter.recordExternalLoads(now, state.instances.count { it.membership?.state == MemberState.JOINING })
        }
        started = true
    }

    private fun advance(formation: Formation, state: PoolState, now: Duration): List<AddressedOrder> {
        val before = formation.phase
        val step = FormationLifecycle(state, now).next(formation)
        if (before != formation.phase) {
            val decision = if (formation.phase == FormationPhase.SERVING) "group-serves" else "group-ends"
            decisions += PlanningDecision(formation.group, decision, formation.reason ?: "the head is open")
        }
        if (step == FormationAction.Release) {
            formations.release(formation, headKnown = formation.head?.let { state.find(it.start) } != null)
            decisions += PlanningDecision(formation.group, "group-released", formation.reason.orEmpty())
        }
        val orders = (step as? FormationAction.Send)?.orders.orEmpty().filter(permits(state, now)::allow)
        orders.forEach { formation.sent[it.instance.id] = SentOrder(it.order, now) }
        return orders
    }

    private fun permits(state: PoolState, now: Duration) = LoadPermits(rateLimiter, formations, spares, state, now)

    private fun compose(state: PoolState, now: Duration): List<AddressedOrder> {
        growth.observe(state, now)
        spares.retain(state, now)
        val input = CompositionInput.of(formations, growth, spares.staging, state, now)
        val composer = GroupComposer(input)
        val compositions = when {
            !formations.neverHadGroups -> composer.compose()
            growth.isStable(now) -> composer.composeInitial()
            else -> emptyList()
        }
        val crossing = if (compositions.isEmpty()) acrossDomains(input, composer, state, now) else null
        val formed = (compositions + listOfNotNull(crossing)).flatMap { form(it, state, now) }
        val permits = permits(state, now)
        val staged = spares.stage(composer, state, now) { permits.tryAcquire(it) }
        if (!formations.neverHadGroups && formed.isEmpty() && state.demandKnown) regroup(input, state, now)
        val reserved = spares.reserve(formations.serving, state, now) { permits.tryAcquire() }
        // Before the first groups are formed, spares are not warmed up: instances load their weights in their groups.
        val warmed = if (formations.neverHadGroups) emptyList() else spares.warm(composer.spares, state, now)
        return formed + staged + reserved + warmed
    }

    /**
     * Ends a group across domains that has been replaced, or else returns one that is to be formed. The first groups of
     * a pool are formed within domains, which uses its instances better.
     */
    private fun acrossDomains(
        input: CompositionInput,
        composer: GroupComposer,
        state: PoolState,
        now: Duration,
    ): Composition? {
        val plan = CrossDomainPlan(input, formations.all, state)
        val ending = plan.ending()
        ending?.let { (formation, reason) ->
            formation.end(now, reason, lost = false)
            decisions += PlanningDecision(formation.group, "group-ends", reason)
        }
        val mayForm = ending == null && (!formations.neverHadGroups || growth.isStable(now))
        return if (mayForm) plan.compose(composer.spares)?.also { composer.take(it.members) } else null
    }

    private fun regroup(input: CompositionInput, state: PoolState, now: Duration) {
        val reassignment = RegroupingPlan(input, formations.serving, state).choose() ?: return
        val formation = reassignment.formation
        formation.end(now, "its members are needed for ${reassignment.model}", lost = false)
        decisions += PlanningDecision(formation.group, "group-ends", formation.reason.orEmpty())
    }

    private fun form(composition: Composition, state: PoolState, now: Duration): List<AddressedOrder> {
        val group = epochs.group()
        val members = composition.members.toPersistentList()
        val formation = Formation(group, composition.model, members, now, adopted = false)
        formations.add(formation)
        val domains = members.map { it.groupDomain }.distinct()
        val across = if (domains.size > 1) " across domains ${domains.joinToString { it.value }}" else ""
        val ids = members.joinToString { it.id.value }
        decisions += PlanningDecision(group, "group-formed", "${composition.model} of $ids$across")
        return advance(formation, state, now)
    }
}
