package boragering.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The capacity and timing of an emulated group of engines with continuous batches.
 *
 * @property queue requests that wait for a slot before further ones are rejected.
 * @property pace factor applied to all times.
 * @property stepsPerPass token steps between two events of an answer.
 */
internal data class EngineTiming(
    val slots: Int = 18,
    val queue: Int = 36,
    val pace: Double = 1.0,
    val stepsPerPass: Int = 7,
    val stepMilliseconds: Double = 6.0,
    val stepMillisecondsPerRequest: Double = 0.064,
    val promptTokensPerMillisecond: Double = 50.0,
    val promptTokensPerStep: Int = 2_048,
)

/** A request at an emulated group. */
internal class EmulatedRequest(var promptLeft: Int, var answerLeft: Int, val priority: Int = 0) {
    /** Called with the time of each event of the answer. */
    var onEvent: (Duration) -> Unit = {}

    val done: Boolean get() = answerLeft <= 0
}

/**
 * Emulates one group of engines in virtual time: it runs up to its slots of requests in one batch, reads prompts in
 * pieces between the steps of the batch, and queues further requests by priority and arrival.
 */
internal class EmulatedGroup(private val timing: EngineTiming) {
    private val running = ArrayList<EmulatedRequest>()
    private val waiting = ArrayList<EmulatedRequest>()
    private var writersInPass = emptyList<EmulatedRequest>()
    private var passEnd = Duration.ZERO
    private var passRuns = false

    /** Factor by which the group is slower than its timing now. */
    var slowness = 1.0

    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.size

    /** Accepts [request]; returns `false` when the queue is full. */
    fun accept(request: EmulatedRequest): Boolean {
        if (running.size >= timing.slots && waiting.size >= timing.queue) return false
        val position = waiting.indexOfLast { it.priority <= request.priority } + 1
        waiting.add(position, request)
        return true
    }

    /** Ends the work on [request], because its caller has left. */
    fun cancel(request: EmulatedRequest) {
        running.remove(request)
        waiting.remove(request)
    }

    /** Advances to [now]; called once a millisecond. */
    fun advance(now: Duration) {
        if (passRuns && passEnd > now) return
        if (passRuns) endPass()
        admit()
        if (running.isNotEmpty()) beginPass(now)
    }

    private fun admit() {
        while (running.size < timing.slots && waiting.isNotEmpty()) running += waiting.removeAt(0)
    }

    private fun beginPass(now: Duration) {
        val writers = running.filter { it.promptLeft == 0 }
        val steps = if (writers.isEmpty()) 1 else timing.stepsPerPass
        var budget = steps * timing.promptTokensPerStep
        var read = 0
        running.filter { it.promptLeft > 0 }.forEach {
            val piece = minOf(it.promptLeft, budget)
            it.promptLeft -= piece
            budget -= piece
            read += piece
        }
        val stepTime = timing.stepMilliseconds + timing.stepMillisecondsPerRequest * writers.size
        val decode = if (writers.isEmpty()) 0.0 else steps * stepTime
        writersInPass = writers
        passRuns = true
        passEnd = now + (timing.pace * slowness * (decode + read / timing.promptTokensPerMillisecond)).milliseconds
    }

    private fun endPass() {
        passRuns = false
        writersInPass.filter { it in running }.forEach {
            it.answerLeft -= timing.stepsPerPass
            it.onEvent(passEnd)
        }
        running.removeAll { it.done }
    }
}
