package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** The phase of a group's life cycle, as the planner drives it. */
internal enum class FormationPhase {
    /** The members are joining. The planner opens the head once all of them are ready. */
    FORMING,

    /** The head is open and takes requests. */
    SERVING,

    /** The group is being dissolved. Its members are released once its head can no longer serve. */
    ENDING,
}

/**
 * The planner's state of one composition of a group.
 *
 * @property model the group's model; `null` when it could not be derived from the listed members.
 * @property createdAt when the planner formed or adopted the group, a time of the monotonic clock.
 * @property adopted whether another planner formed the group.
 */
internal class Formation(
    val group: GroupEpoch,
    val model: ModelName?,
    val members: PersistentList<Instance>,
    val createdAt: Duration,
    val adopted: Boolean,
) {
    var phase = FormationPhase.FORMING

    /** Whether the group gets no orders and counts for nothing, because it lies in evacuated availability zones. */
    var suspended = false

    /** Why the group ends, for the decision log; `null` until it ends. */
    var reason: String? = null
        private set

    /** Whether the group cannot finish its work, for example because a member is lost. */
    var memberLost = false
        private set

    /** When the group began to end; `null` until it ends. */
    var endingSince: Duration? = null
        private set

    /** Whether the head may have received an order to open, although this is not confirmed. */
    var openUncertain = adopted

    /** The last order sent to each member. */
    val sent = HashMap<InstanceId, SentOrder>()

    /** The head as listed when the formation was created; `null` when an adopted group had no listed head. */
    val head: Instance? =
        if (adopted) members.firstOrNull { it.membership?.rank == 0 } else members.first()

    /** Whether the members are in different fabric domains, so that the group runs slower. */
    val crossesDomains: Boolean = members.distinctBy { it.groupDomain }.size > 1

    /** Begins to end the group. If it already ends, only [lost] is taken over, and the first reason is kept. */
    fun end(now: Duration, endReason: String, lost: Boolean) {
        memberLost = memberLost || lost
        if (phase == FormationPhase.ENDING) return
        phase = FormationPhase.ENDING
        endingSince = now
        reason = endReason
    }
}

/** An order that was sent to a member [at] a time of the monotonic clock, and its outcome once it is known. */
internal class SentOrder(val order: Order, val at: Duration) {
    var outcome: OrderOutcome? = null
}
