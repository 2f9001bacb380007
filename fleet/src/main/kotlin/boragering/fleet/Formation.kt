package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** How far the planner has brought a group. */
internal enum class FormationPhase {
    /** Members join; the head is opened once all are ready. */
    FORMING,

    /** The head is open. */
    SERVING,

    /** The group is taken apart; its members are free once its head cannot serve any more. */
    ENDING,
}

/** One composition of a group as the planner that made or found it knows it. */
internal class Formation(
    val group: GroupEpoch,
    val model: ModelName?,
    val members: PersistentList<Instance>,
    val createdAt: Duration,
    val adopted: Boolean,
) {
    var phase = FormationPhase.FORMING

    /** Why the group ends; for the log. */
    var reason: String? = null
        private set

    /** Whether an instance cannot return to the group, so that its work is lost. */
    var memberLost = false
        private set

    /** Since when the group ends. */
    var endingSince: Duration? = null
        private set

    /** Whether the head may have been told to open without a certain answer. */
    var openUncertain = adopted

    /** The last order to each member. */
    val sent = HashMap<InstanceId, SentOrder>()

    /** The head as it was last known; `null` when it was not listed as the group was found. */
    val head: Instance? =
        if (adopted) members.firstOrNull { it.membership?.rank == 0 } else members.first()

    fun end(now: Duration, endReason: String, lost: Boolean) {
        memberLost = memberLost || lost
        if (phase == FormationPhase.ENDING) return
        phase = FormationPhase.ENDING
        endingSince = now
        reason = endReason
    }
}

/** An order, when it was sent, and its outcome once it is known. */
internal class SentOrder(val order: Order, val at: Duration) {
    var outcome: OrderOutcome? = null
}
