package boragering.core.groups

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.membership.PauseDetector
import boragering.core.membership.PeerMessage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EchoTrackerTest : DescribeSpec({
    val peer = DaemonId("a")
    val other = DaemonId("b")

    describe("an echo tracker") {
        it("remembers when an echo was sent, and returns no time for another number") {
            var now = 1.seconds
            val echoes = EchoTracker(clockOf { now })
            val echo = echoes.next()
            now = 5.seconds
            echoes.sentAt(echo.number) shouldBe 1.seconds
            echoes.sentAt(echo.number + 1) shouldBe null
        }

        it("keeps the highest number received, so that a late echo does not make evidence look older") {
            val echoes = EchoTracker(clockOf { Duration.ZERO })
            listOf(2L, 5L, 3L).forEach { echoes.received(peer, PeerMessage.Echo(it)) }
            echoes.highest(peer) shouldBe 5
            echoes.highest(other) shouldBe null
        }

        it("forgets peers that are gone and never reuses a number, so that an old echo gets no new time") {
            val echoes = EchoTracker(clockOf { Duration.ZERO })
            echoes.received(peer, PeerMessage.Echo(4))
            val former = echoes.next()
            echoes.retain(emptySet())
            echoes.highest(peer) shouldBe null
            echoes.next() shouldNotBe former
        }

        it("remembers a bounded number of echoes") {
            val echoes = EchoTracker(clockOf { Duration.ZERO })
            val numbers = List(100) { echoes.next().number }
            numbers.count { echoes.sentAt(it) != null } shouldBe 64
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
            detector.pauseCount shouldBe 1
        }
    }
})

private fun clockOf(now: () -> Duration) = object : Clock {
    override fun wallMilliseconds() = 0L

    override fun monotonic() = now()
}
