package boragering.fleet

import boragering.core.FabricDomain
import boragering.core.GroupId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a step of the planner asks for; [notes] are changes of what it believes, for the log. */
data class PlanningStep(
    val orders: PersistentList<AddressedOrder> = persistentListOf(),
    val notes: PersistentList<PlanningNote> = persistentListOf(),
)

/** What the planner decided about [group], and why. */
data class PlanningNote(val group: GroupEpoch, val decision: String, val reason: String)

/**
 * Forms groups of the instances of one pool, opens their heads, and takes groups apart that lost a member.
 *
 * One planner of a deployment acts at a time. Each composition of a group has a name and an epoch of its own, which are
 * higher than those of earlier planners ([fence]), so that an order carried out late affects no later composition. The
 * members of a group join another one only after its head has left, or after they have left themselves. Not safe for use
 * by several threads.
 *
 * @param fence grows from planner to planner.
 */
class GroupPlanner(private val fence: Long) {
    private val formations = LinkedHashMap<GroupEpoch, Formation>()
    private val released = HashSet<GroupEpoch>()
    private val stagings = HashMap<InstanceStart, SentOrder>()
    private val gate = LoadGate()
    private val notes = ArrayList<PlanningNote>()
    private var compositions = 0L
    private var started = false
    private var knownStarts = emptySet<InstanceStart>()
    private var settledSince: Duration? = null

    /** Decides what to do at [now], a time of the monotonic clock. */
    fun step(state: PoolState, now: Duration): PlanningStep {
        adopt(state, now)
        val steps = formations.values.toList().map { it to advance(it, state, now) }
        val orders = steps.flatMap { (formation, step) -> send(formation, step, state, now) }
        val composed = compose(state, now)
        val recorded = notes.toPersistentList()
        notes.clear()
        return PlanningStep((orders + composed).toPersistentList(), recorded)
    }

    /** Takes the outcome of an order that [step] asked for. */
    fun answered(addressed: AddressedOrder, outcome: OrderOutcome) {
        val start = addressed.instance.start
        stagings[start]?.takeIf { it.order == addressed.order }?.outcome = outcome
        val formation = formations[addressed.order.group] ?: return
        formation.sent[start.id]?.takeIf { it.order == addressed.order }?.outcome = outcome
    }

    /** The members of the group that [head] serves; `null` when it serves none. */
    fun servedBy(head: InstanceStart): List<Instance>? =
        formations.values.firstOrNull { it.head.start == head && it.phase == FormationPhase.SERVING }?.members

    /**
     * Whether the pool has not grown for a moment. Instances that list themselves one after the other would otherwise be
     * put into whatever groups the first ones allow.
     */
    private fun settled(state: PoolState, now: Duration): Boolean {
        val starts = state.instances.mapTo(HashSet()) { it.start }
        val grown = starts.any { it !in knownStarts }
        knownStarts = starts
        if (grown || settledSince == null) settledSince = now
        return now - checkNotNull(settledSince) >= SETTLING_TIME
    }

    private fun adopt(state: PoolState, now: Duration) {
        val answering = state.instances.filter { state.present(it.start) != null }
        val views = GroupView.of(answering).filter { it.group !in formations && !over(it) }
        views.forEach { view ->
            val model = view.members.firstNotNullOfOrNull { member ->
                state.engine.models.keys.singleOrNull { it in member.loaded }
            }
            val complete = model != null && view.members.size == state.engine.models.getValue(model).groupSize
            val formation =
                Formation(view.group, model.takeIf { complete }, view.members, now, adopted = true)
            formations[view.group] = formation
            notes += PlanningNote(view.group, "group-adopted", "listed with ${view.members.size} members of $model")
        }
        if (!started) gate.assume(now, state.instances.count { it.membership?.state == MemberState.JOINING })
        started = true
    }

    private fun over(view: GroupView): Boolean =
        view.group in released && view.head?.membership?.state.let { it != MemberState.OPEN && it != MemberState.CLOSING }

    private fun advance(formation: Formation, state: PoolState, now: Duration): Step {
        val before = formation.phase
        val step = FormationStep(state, now).next(formation)
        if (before != formation.phase) note(formation)
        if (step == Step.Release) {
            formations.remove(formation.group)
            released += formation.group
            notes += PlanningNote(formation.group, "group-released", formation.reason.orEmpty())
        }
        return step
    }

    private fun note(formation: Formation) {
        val decision = if (formation.phase == FormationPhase.SERVING) "group-serves" else "group-ends"
        notes += PlanningNote(formation.group, decision, formation.reason ?: "the head is open")
    }

    private fun send(formation: Formation, step: Step, state: PoolState, now: Duration): List<AddressedOrder> {
        val orders = (step as? Step.Send)?.orders.orEmpty().filter { permitted(it, state, now) }
        orders.forEach { formation.sent[it.instance.id] = SentOrder(it.order, now) }
        return orders
    }

    private fun permitted(addressed: AddressedOrder, state: PoolState, now: Duration): Boolean {
        val model = (addressed.order as? Order.Join)?.model ?: return true
        return GroupComposer.holds(addressed.instance, model) || gate.take(now, loading(state), state.engine)
    }

    /** Number of loads that run: of members that join without staged weights, and of spare instances. */
    private fun loading(state: PoolState): Int {
        val joining = formations.values.filter { it.phase == FormationPhase.FORMING }.sumOf { formation ->
            val model = formation.model
            formation.members.count { member ->
                val present = state.present(member.start)
                val ordered = formation.sent[member.id]?.order is Order.Join
                ordered && model != null && present != null && !ready(present, formation) &&
                    !GroupComposer.holds(member, model)
            }
        }
        return joining + stagings.count { (start, order) -> staging(state, start, order) }
    }

    private fun ready(instance: Instance, formation: Formation): Boolean =
        instance.membership?.group == formation.group && instance.membership.state != MemberState.JOINING

    private fun staging(state: PoolState, start: InstanceStart, sent: SentOrder): Boolean {
        val instance = state.present(start) ?: return false
        val model = (sent.order as Order.Stage).model
        return !GroupComposer.holds(instance, model) && sent.outcome !is OrderOutcome.Refused
    }

    private fun compose(state: PoolState, now: Duration): List<AddressedOrder> {
        val busy = formations.values.flatMapTo(HashSet()) { formation -> formation.members.map { it.start } }
        val serving = state.instances.filter { it.state == InstanceState.SERVING && state.present(it.start) != null }
        val free = serving.filter { it.start !in busy }
        val composer =
            GroupComposer(
                CompositionInput(
                    engine = state.engine,
                    free = free.groupBy { it.domain ?: WHOLE_POOL }.filterKeys { it !in ending(now) },
                    usable = serving.groupingBy { it.domain ?: WHOLE_POOL }.eachCount(),
                    assigned = assigned(),
                    staging = stagings.mapValues { (_, sent) -> (sent.order as Order.Stage).model },
                    loads = state.engine.loadsAtOnce - loading(state),
                ),
            )
        val compositions = when {
            !settled(state, now) -> emptyList()
            formations.isEmpty() && released.isEmpty() -> composer.divide()
            else -> composer.compose()
        }
        return compositions.flatMap { form(it, state, now) } + stage(composer, state, now)
    }

    /** Domains where members of an ending group will soon be free; they are worth waiting for. */
    private fun ending(now: Duration): Set<FabricDomain> =
        formations.values
            .filter { it.endingSince.let { since -> since != null && now - since < RELEASE_LIMIT } }
            .flatMapTo(HashSet()) { formation -> formation.members.map { it.domain ?: WHOLE_POOL } }

    private fun assigned(): Map<ModelName, Int> =
        formations.values.filter { it.phase != FormationPhase.ENDING && it.model != null }
            .groupBy { checkNotNull(it.model) }
            .mapValues { (_, formations) -> formations.sumOf { it.members.size } }

    private fun form(composition: Composition, state: PoolState, now: Duration): List<AddressedOrder> {
        compositions += 1
        val epoch = fence * COMPOSITIONS_PER_PLANNER + compositions
        val group = GroupEpoch(GroupId("group-$epoch"), epoch)
        val formation = Formation(group, composition.model, composition.members.toPersistentList(), now, false)
        formations[group] = formation
        val members = composition.members.joinToString { it.id.value }
        notes += PlanningNote(group, "group-formed", "${composition.model} of $members")
        return send(formation, FormationStep(state, now).next(formation), state, now)
    }

    private fun stage(composer: GroupComposer, state: PoolState, now: Duration): List<AddressedOrder> {
        stagings.keys.removeAll { state.present(it) == null }
        return composer.stagings { domain, model -> holders(state, domain, model) }
            .mapNotNull { (instance, model) ->
                val permitted = instance.start !in stagings && gate.take(now, loading(state), state.engine)
                if (permitted) order(instance, Order.Stage(model), now) else null
            }
    }

    private fun order(instance: Instance, order: Order.Stage, now: Duration): AddressedOrder {
        stagings[instance.start] = SentOrder(order, now)
        return AddressedOrder(instance, order)
    }

    private fun holders(state: PoolState, domain: FabricDomain, model: ModelName): Int =
        state.instances.count { instance ->
            (instance.domain ?: WHOLE_POOL) == domain &&
                (GroupComposer.holds(instance, model) || (stagings[instance.start]?.order as? Order.Stage)?.model == model)
        }

    private val Order.group: GroupEpoch?
        get() = when (this) {
            is Order.Join -> group
            is Order.Open -> group
            is Order.Close -> group
            is Order.Leave -> group
            is Order.Stage -> null
        }

    private companion object {
        /** Epochs of one planner; its successor's fence is at least one higher. */
        const val COMPOSITIONS_PER_PLANNER = 1_000L

        /** Time for the head of an ending group to let its members go. */
        val RELEASE_LIMIT = 5.seconds
        val SETTLING_TIME = 400.milliseconds

        /** Stands for the domain of instances that name none. */
        val WHOLE_POOL = FabricDomain("")
    }
}
