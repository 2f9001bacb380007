package boragering.fleet

import boragering.core.OrganisationName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A queue of organisations that are ranked by what they have had. */
private class QueueFixture {
    val had = HashMap<OrganisationName?, Double>()
    var ranksComputed = 0
    val queue = AdmissionQueue { organisation, _ ->
        ranksComputed += 1
        had[organisation] ?: 0.0
    }

    class Request(organisation: String, deadline: Duration = 60.seconds) : PendingRequest {
        override val admission =
            AdmissionRequest(OrganisationName(organisation), 1, 20.seconds, START, deadline, CallerAttempt.First)

        override fun trySend() = SendResult.SENT

        override fun onQueued(position: Int, expectedWait: Duration) = Unit

        override fun onDequeued() = Unit

        override fun reject(rejection: AdmissionRejection) = Unit
    }

    /** Serves the next request at [now] and returns its organisation. */
    fun serve(now: Duration = START): String {
        val next = checkNotNull(queue.next(now) { true })
        had.merge(next.admission.organisation, 1.0, Double::plus)
        queue.remove(next)
        return checkNotNull(next.admission.organisation).value
    }

    companion object {
        val START = 10.seconds
    }
}

class AdmissionQueueTest : DescribeSpec({
    it("alternates between organisations (guards against a rank that stays as it was before a request was served)") {
        val fixture = QueueFixture()
        listOf("a", "a", "a", "b", "b", "b").forEach { fixture.queue.add(QueueFixture.Request(it)) }
        List(6) { fixture.serve() }.shouldContainExactly("a", "b", "a", "b", "a", "b")
    }

    it("follows ranks that change elsewhere (guards against an order that other gateways' reports never reach)") {
        val fixture = QueueFixture()
        listOf("a", "b", "c").forEach { fixture.queue.add(QueueFixture.Request(it)) }
        fixture.serve() shouldBe "a"
        fixture.had[OrganisationName("b")] = 5.0
        fixture.serve(QueueFixture.START + 100.milliseconds) shouldBe "c"
    }

    it("ranks few of 1,000 organisations for each request (guards against a loop that is busy with ranks)") {
        val fixture = QueueFixture()
        val requests = List(1_000) { QueueFixture.Request("o$it") }
        requests.forEach(fixture.queue::add)
        fixture.serve()
        fixture.ranksComputed = 0
        repeat(100) {
            fixture.serve()
            fixture.queue.ahead(requests[it].admission, QueueFixture.START)
        }
        fixture.ranksComputed shouldBeLessThan 500
    }
})
