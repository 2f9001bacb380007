package boragering.standins

import kotlinx.serialization.Serializable

/** How a request ended on an engine. */
@Serializable
enum class RunEnd { RUNNING, COMPLETE, CANCELLED, CLIENT_GONE, MEMBER_LOST, REASSIGNED, BROKEN, UNREACHABLE }

/**
 * One request that an engine accepted. Times are wall-clock milliseconds; [started] is absent while the request waits
 * for a slot. [group] and [fence] are what the request named, [servedGroup] and [servedFence] the engine's own.
 * [membersPresent] is what the leader's latest pings said when the request was accepted. [index] counts the requests
 * that the engine has accepted.
 */
@Serializable
data class RunRecord(
    val request: String,
    val idempotencyKey: String?,
    val group: String?,
    val fence: Long?,
    val servedGroup: String,
    val servedFence: Long,
    val priority: Int,
    val membersPresent: Boolean,
    val accepted: Long,
    val resumeFrom: Int,
    val started: Long? = null,
    val ended: Long? = null,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val tokens: Int = 0,
    val end: RunEnd = RunEnd.RUNNING,
    val index: Int = 0,
)

/** A request that an engine refused; [notRun] says whether the refusal promised that it was not run. */
@Serializable
data class RefusalRecord(val request: String, val status: Int, val notRun: Boolean, val at: Long)

/** An order with its verdict. */
@Serializable
data class OrderRecord(val order: EngineOrder, val verdict: OrderVerdict, val at: Long)

/** What a leader's pings of its group's other members found, from [at] on. */
@Serializable
data class PresenceChange(val group: String, val fence: Long, val present: Boolean, val at: Long)

/** What an engine did with an order. */
@Serializable
enum class OrderVerdict { ACCEPTED, NO_CHANGE, STALE }

/** Body of `GET /control/record` of an engine. */
@Serializable
data class EngineRecord(
    val instance: String,
    val incarnation: String,
    val requests: List<RunRecord> = emptyList(),
    val refusals: List<RefusalRecord> = emptyList(),
    val orders: List<OrderRecord> = emptyList(),
    val presence: List<PresenceChange> = emptyList(),
)
