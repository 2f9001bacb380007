package boragering.fleet

import boragering.core.InstanceId
import kotlinx.collections.immutable.toPersistentList
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A load in which one part of prompts crashes every target.
 *
 * @property deadlyPerSecond requests with the part per second, from second [START] on; each is sent to two targets.
 * @property restartEvery time between two restarts of a gateway; `null` if there are none.
 */
internal data class DeadlyLoad(
    val gateways: Int,
    val targets: Int,
    val deadlyPerSecond: Double,
    val soundPerSecond: Double = 80.0,
    val restartEvery: Duration? = null,
) {
    companion object {
        val START = 4.seconds
    }
}

/**
 * Plays gateways with the real [PromptQuarantine], targets that crash, and callers in virtual time. Reports of crashes
 * reach four gateways, quarantines all of them, after a delay; some reports are lost.
 */
internal class DeadlyDay(private val load: DeadlyLoad, seed: Int) {
    private val random = Random(seed)
    private val events = PriorityQueue<Pair<Duration, () -> Unit>>(compareBy { it.first })
    private val gateways = MutableList(load.gateways) { PromptQuarantine() }
    private val targets = List(load.targets) { EmulatedTarget(it) }
    private var now = Duration.ZERO

    /** Times at which targets crashed. */
    val crashes = ArrayList<Duration>()

    /** Times at which requests with the deadly part reached targets. */
    val deadlyArrivals = ArrayList<Duration>()

    /** The sound requests that a target began to answer, and those that were asked, by the second. */
    val soundServed = HashMap<Long, Int>()
    val soundAsked = HashMap<Long, Int>()

    private class Running(val gateway: Int, val parts: List<PromptPart>, val sentAt: Duration, val again: (() -> Unit)?)

    private inner class EmulatedTarget(val number: Int) {
        var start = 0L
        var downUntil = Duration.ZERO
        val running = ArrayList<Running>()

        fun crash() {
            if (now < downUntil) return
            crashes += now
            val lost = running.toList().also { running.clear() }
            val identity = InstanceStart(InstanceId("t$number"), start++)
            downUntil = now + 3.seconds
            lost.groupBy { it.gateway }.forEach { (gateway, requests) -> report(gateway, identity, requests) }
            lost.forEach { request -> request.again?.let { at(1.milliseconds, it) } }
        }
    }

    fun play(length: Duration) {
        arrivals(load.soundPerSecond, Duration.ZERO) { sound() }
        arrivals(load.deadlyPerSecond, DeadlyLoad.START) { deadly() }
        load.restartEvery?.let { arrivals(1 / (it / 1.seconds), Duration.ZERO, ::restart) }
        while (events.isNotEmpty() && events.first().first < length) {
            val (time, action) = events.poll()
            now = time
            action()
        }
    }

    private fun at(delay: Duration, action: () -> Unit) {
        events += now + delay to action
    }

    private fun arrivals(perSecond: Double, from: Duration, action: () -> Unit) {
        at(from + 1.seconds / perSecond * 2 * random.nextDouble()) {
            action()
            arrivals(perSecond, Duration.ZERO, action)
        }
    }

    private fun sound() {
        val caller = random.nextInt(CALLERS)
        val parts = listOf(PromptPart("c$caller"), PromptPart("s$caller-${random.nextInt(SESSIONS)}"))
        soundAsked.merge(now.inWholeSeconds, 1, Int::plus)
        if (send(parts, ANSWER_TIME, retries = 1)) soundServed.merge(now.inWholeSeconds, 1, Int::plus)
    }

    private fun deadly() {
        send(listOf(PromptPart("c0"), DEADLY), TIME_TO_CRASH * (0.5 + random.nextDouble()), retries = 1)
    }

    private fun send(parts: List<PromptPart>, time: Duration, retries: Int): Boolean {
        val gateway = random.nextInt(load.gateways)
        val shared = SharedPart.of(SERVICE, parts)
        val target = targets.filter { it.downUntil <= now }.randomOrNull(random)
        if (target == null || gateways[gateway].waitTime(shared, now) { gateway == 0 } != null) return false
        if (DEADLY in parts) deadlyArrivals += now
        val again = if (retries > 0) ({ repeat(gateway, parts, time) }) else null
        val request = Running(gateway, parts, now, again)
        target.running += request
        at(time) { if (request in target.running) finish(target, request) }
        return true
    }

    private fun repeat(gateway: Int, parts: List<PromptPart>, time: Duration) {
        if (gateways[gateway].mayFollowLoss(SharedPart.of(SERVICE, parts), now)) send(parts, time, retries = 0)
    }

    private fun finish(target: EmulatedTarget, request: Running) {
        if (DEADLY in request.parts) return target.crash()
        target.running -= request
        gateways[request.gateway].recordAnswer(SharedPart.of(SERVICE, request.parts), now)
            .forEach { part -> gateways.forEach { it.release(part) } }
    }

    private fun report(gateway: Int, target: InstanceStart, requests: List<Running>) {
        val lost = requests.map { LostRequest(it.parts.toPersistentList(), it.sentAt) }.toPersistentList()
        val crash = gateways[gateway].annotate(TargetCrash(target, SERVICE, now, lost))
        val judges = (0..<load.gateways).take(JUDGES) + gateway
        judges.distinct().filter { it == gateway || random.nextDouble() > LOSS }.forEach { judge ->
            at(messageDelay()) { gateways[judge].recordCrash(crash).forEach(::publish) }
        }
    }

    private fun publish(part: SharedPart) =
        gateways.indices.forEach { number -> at(messageDelay()) { gateways[number].adopt(part, 0.seconds, now) } }

    /** A gateway starts anew and reads what the others have in quarantine. */
    private fun restart() {
        val number = random.nextInt(load.gateways)
        val known = gateways[(number + 1) % load.gateways].quarantined(now)
        gateways[number] = PromptQuarantine().also { fresh -> known.forEach { fresh.adopt(it, 0.seconds, now) } }
    }

    private fun messageDelay(): Duration = 1.milliseconds + 20.milliseconds * random.nextDouble()

    companion object {
        val DEADLY = PromptPart("deadly")
        private val SERVICE = ServiceName("pool")
        private val ANSWER_TIME = 900.milliseconds
        private val TIME_TO_CRASH = 400.milliseconds
        private const val CALLERS = 10
        private const val SESSIONS = 12
        private const val JUDGES = 4
        private const val LOSS = 0.05
    }
}
