package boragering.core

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EchoClockTest : DescribeSpec({
    val peer = DaemonId("a")
    val other = DaemonId("b")

    describe("an echo clock") {
        it("remembers when an echo was sent to a peer, and not to another one") {
            var now = 1.seconds
            val echoes = EchoClock(clockOf { now })
            val echo = echoes.next(peer)
            now = 5.seconds
            echoes.sentAt(peer, echo.number) shouldBe 1.seconds
            echoes.sentAt(other, echo.number) shouldBe null
        }

        it("keeps the highest number received, so that a late echo does not make evidence look older") {
            val echoes = EchoClock(clockOf { Duration.ZERO })
            listOf(2L, 5L, 3L).forEach { echoes.receive(peer, PeerMessage.Echo(it)) }
            echoes.highestReceived(peer) shouldBe 5
            echoes.highestReceived(other) shouldBe null
        }

        it("does not use a number again after a link was closed, so that a former echo has no new time") {
            val echoes = EchoClock(clockOf { Duration.ZERO })
            val former = echoes.next(peer)
            echoes.forget(peer)
            echoes.next(peer) shouldNotBe former
            echoes.sentAt(peer, former.number) shouldBe null
        }

        it("remembers a bounded number of echoes") {
            val echoes = EchoClock(clockOf { Duration.ZERO })
            val numbers = List(100) { echoes.next(peer).number }
            numbers.count { echoes.sentAt(peer, it) != null } shouldBe 32
        }
    }

    describe("a pause detector") {
        it("reports the length of a pause once, and no ordinary time between checks") {
            var now = Duration.ZERO
            val gaps = mutableListOf<Duration>()
            val detector = PauseDetector(clockOf { now }).apply { listen(gaps::add) }
            listOf(200.milliseconds, 200.milliseconds, 30.seconds, 200.milliseconds).forEach {
                detector.check()
                now += it
            }
            detector.check()
            gaps shouldBe listOf(30.seconds)
            detector.pauses shouldBe 1
        }
    }
})

private fun clockOf(now: () -> Duration) = object : Clock {
    override fun wallMilliseconds() = 0L

    override fun monotonic() = now()
}
