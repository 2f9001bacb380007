package boragering.core.requests

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.Header
import boragering.core.RequestId
import boragering.core.TargetCall
import boragering.core.TargetClient
import boragering.core.TargetFailure
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Fault that a target shows for one call. */
enum class TargetFault {
    NOT_SENT,
    REFUSED,
    STALE,
    BROKEN_NOT_RUN,
    BROKEN_AFTER_RUN,
    BROKEN_MIDWAY,
    RUNS_LATE,
    HANGS,
    FOREIGN,
    FOREIGN_PART_FIRST,
}

/**
 * Simulates the targets of all groups and records the requests that they ran. [faults] maps call numbers, from 1, to
 * faults.
 */
class FakeTarget(private val scope: CoroutineScope, private val stream: Boolean) : TargetClient {
    /** The requests that were run, in order. */
    val runs = ArrayList<TargetCall>()
    val sent = ArrayList<TargetCall>()
    val cancelled = ArrayList<RequestId>()
    var faults: Map<Int, TargetFault> = emptyMap()
    var defaultFault: TargetFault? = null
    var workTime = 10.milliseconds
    var status = CREATED

    /** The bodies of answers that are no streams. */
    var bodies = listOf("{\"booked\":", "true}")

    /** Number of concurrent requests that each address accepts. Further requests are refused. */
    var slots = Int.MAX_VALUE
    val running = HashMap<String, Int>()
    var refused = 0
        private set

    /** Work time and number of events of a request, for tests in which they differ between requests. */
    var work: (TargetCall) -> Pair<Duration, Int> = { workTime to 2 }

    /** Time to the first part of an answer. It must not exceed the work time. */
    var firstPart: (TargetCall) -> Duration = { 100.milliseconds }

    override suspend fun send(call: TargetCall, receive: suspend (AnswerPart) -> Unit): Either<TargetFailure, Unit> {
        sent.add(call)
        val full = (running[call.address] ?: 0) >= slots
        if (full) refused++
        val fault = if (full) TargetFault.REFUSED else faults[sent.size] ?: defaultFault
        if (!full) running.merge(call.address, 1, Int::plus)
        try {
            delay(1.milliseconds)
            return answer(call, fault, receive)
        } catch (cancellation: CancellationException) {
            cancelled.add(call.request)
            throw cancellation
        } finally {
            if (!full) running.merge(call.address, -1, Int::plus)
        }
    }

    private suspend fun answer(
        call: TargetCall,
        fault: TargetFault?,
        receive: suspend (AnswerPart) -> Unit,
    ): Either<TargetFailure, Unit> = when (fault) {
        TargetFault.NOT_SENT -> TargetFailure.NotSent("connection refused").left()
        TargetFault.REFUSED -> TargetFailure.Refused("no capacity", UNAVAILABLE).left()
        TargetFault.STALE -> TargetFailure.Refused("stale", CONFLICT).left()
        TargetFault.BROKEN_NOT_RUN -> TargetFailure.Broken("connection reset").left()
        TargetFault.RUNS_LATE -> {
            scope.launch {
                delay(LATE_RUN_DELAY)
                runs.add(call)
            }
            TargetFailure.Broken("connection reset").left()
        }
        TargetFault.HANGS -> {
            runs.add(call)
            awaitCancellation()
        }
        else -> {
            runs.add(call)
            val (time, events) = work(call)
            delay(if (fault == TargetFault.BROKEN_AFTER_RUN) time else minOf(time, firstPart(call)))
            if (fault == TargetFault.BROKEN_AFTER_RUN) broken() else parts(call, fault, time to events, receive)
        }
    }

    private fun broken(): Either<TargetFailure, Unit> = TargetFailure.Broken("connection reset").left()

    private suspend fun parts(
        call: TargetCall,
        fault: TargetFault?,
        work: Pair<Duration, Int>,
        receive: suspend (AnswerPart) -> Unit,
    ): Either<TargetFailure, Unit> {
        val type = if (stream) "text/event-stream" else "application/json"
        receive(AnswerPart.Start(status, persistentListOf(Header("Content-Type", type))))
        val parts = parts(call.request.value, fault, work.second)
        receive(parts.first())
        delay((work.first - firstPart(call)).coerceAtLeast(Duration.ZERO))
        if (fault != TargetFault.BROKEN_MIDWAY) parts.drop(1).forEach { receive(it) }
        return if (fault == TargetFault.BROKEN_MIDWAY) broken() else Unit.right()
    }

    private fun parts(identity: String, fault: TargetFault?, events: Int): List<AnswerPart> = when {
        !stream -> bodies.map { AnswerPart.Body(Bytes.of(it)) }
        fault == TargetFault.FOREIGN -> events("another")
        fault == TargetFault.FOREIGN_PART_FIRST -> events("another").take(1) + events(identity)
        else -> events(identity, events)
    }

    private fun events(identity: String, count: Int = 2): List<AnswerPart> {
        fun event(choice: String) = AnswerPart.Event(identity, "{\"id\":\"$identity\",\"choices\":[{$choice}]}")
        val content = event("\"delta\":{\"content\":\"hail\"}")
        val last = event("\"finish_reason\":\"stop\"")
        return List(count - 1) { content } + last
    }

    private companion object {
        const val CREATED = 201
        const val CONFLICT = 409
        const val UNAVAILABLE = 503

        /** Delay after which a target runs a request whose connection was already broken. */
        val LATE_RUN_DELAY = 800.milliseconds
    }
}
