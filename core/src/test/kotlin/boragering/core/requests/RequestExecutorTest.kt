package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.EntryName
import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.RequestId
import boragering.core.RequestResult
import boragering.core.StoreFault
import boragering.core.claims.ClaimCodec
import boragering.core.claims.ClaimState
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun RequestResult.problem(): Problem = (this as RequestResult.Failed).problem

private fun RequestResult.started(): Boolean = (this as RequestResult.Failed).started

class RequestExecutorTest : DescribeSpec({
    describe("a model request") {
        it("gets the target's complete answer, and the target gets the headers of the group") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                val received = ArrayList<AnswerPart>()
                harness.send(harness.request(), received = received) shouldBe RequestResult.Complete
                received shouldHaveSize 3
                val headers = harness.target.sent.single().headers.associate { it.name to it.value }
                headers["Boragering-Fence"] shouldBe "7"
                headers["Boragering-Priority"] shouldBe "2"
                headers["X-Request-Id"] shouldBe "request-1"
                harness.timeline.map { it.kind } shouldContainExactly
                    listOf("request-admitted", "request-dispatched", "request-ended")
            }
        }

        it("is retried on another target if the first one fails before any part of the answer, but not after") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.faults = mapOf(1 to TargetFault.BROKEN_AFTER_RUN, 3 to TargetFault.BROKEN_MIDWAY)
                harness.send(harness.request()) shouldBe RequestResult.Complete
                harness.target.sent.map { it.address }.toSet() shouldHaveSize 2
                val broken = harness.send(harness.request())
                broken.started() shouldBe true
                broken.problem().outcome shouldBe Outcome.RAN
                harness.target.sent shouldHaveSize 3
            }
        }

        it("is sent to two targets at most if each is lost during it (guards against requests that end all targets)") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.defaultFault = TargetFault.BROKEN_AFTER_RUN
                harness.send(harness.request()).problem().kind shouldBe ProblemKind.TARGET_FAILED
                harness.target.sent shouldHaveSize 2
            }
        }

        it("never receives another request's answer, and does not count as complete with it") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.defaultFault = TargetFault.FOREIGN
                val received = ArrayList<AnswerPart>()
                val result = harness.send(harness.request(), received = received)
                result.problem().kind shouldBe ProblemKind.TARGET_FAILED
                received.shouldBeEmpty()
                harness.metrics.foreignParts shouldBe 2 * harness.target.sent.size
            }
        }

        it("is complete when a late part of another answer precedes its own") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.defaultFault = TargetFault.FOREIGN_PART_FIRST
                val received = ArrayList<AnswerPart>()
                harness.send(harness.request(), received = received) shouldBe RequestResult.Complete
                received.filterIsInstance<AnswerPart.Event>().map { it.identity }.toSet() shouldBe setOf("request-1")
                harness.metrics.foreignParts shouldBe 1
            }
        }

        it("ends at its deadline at the latest, however often targets fail") {
            runTest {
                val harness =
                    RequestTestHarness(this, RequestTestHarness.model(RequestTestHarness.limits(deadline = 1.seconds)))
                harness.target.workTime = 700.milliseconds
                harness.target.defaultFault = TargetFault.BROKEN_AFTER_RUN
                val problem = harness.send(harness.request()).problem()
                problem.outcome shouldBe Outcome.UNKNOWN
                problem.retryAfterSeconds shouldBe 1
                testScheduler.currentTime shouldBe 1_000L
            }
        }

        it("is retried only within the budget") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.defaultFault = TargetFault.BROKEN_AFTER_RUN
                val requests = 200
                repeat(requests) { harness.send(harness.request()) }
                (harness.target.sent.size - requests).toDouble() shouldBeLessThanOrEqual requests * 0.1 + 3
            }
        }

        it("whose caller disconnects is cancelled on the target and releases its slot") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.target.workTime = 5.seconds
                val caller = launch { harness.send(harness.request()) }
                delay(1.seconds)
                caller.cancelAndJoin()
                harness.target.cancelled shouldContainExactly listOf(RequestId("request-1"))
                harness.daemons[0].admission.counts(EntryName("kotoba-pool")) shouldBe AdmissionCounts(0, 0)
            }
        }

        it("is not sent to a target that turns out to be leaving after it was chosen") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.model())
                harness.directory.usable = { it.group.value == "b" }
                repeat(5) { harness.send(harness.request()) shouldBe RequestResult.Complete }
                harness.target.sent.map { it.address }.toSet() shouldBe setOf("b:80")
            }
        }
    }

    describe("a non-repeatable request") {
        it("is sent once, and a repetition gets the recorded answer") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                val second = ArrayList<AnswerPart>()
                harness.send(harness.request("k")) shouldBe RequestResult.Complete
                harness.send(harness.request("k"), received = second) shouldBe RequestResult.Complete
                harness.target.runs shouldHaveSize 1
                (second.last() as AnswerPart.Body).bytes.text() shouldBe "{\"booked\":true}"
            }
        }

        it("is never sent again after a target may have run it") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.target.defaultFault = TargetFault.BROKEN_NOT_RUN
                val problem = harness.send(harness.request("k")).problem()
                problem.outcome shouldBe Outcome.UNKNOWN
                problem.retryAfterSeconds shouldBe null
                harness.target.sent shouldHaveSize 1
            }
        }

        it("is retried on another target after a refused connection, which marks the first target as leaving") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.target.faults = mapOf(1 to TargetFault.NOT_SENT)
                harness.send(harness.request("k")) shouldBe RequestResult.Complete
                harness.directory.leaving shouldHaveSize 1
            }
        }

        it("that all targets refuse has the outcome not run and can be claimed again") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.target.defaultFault = TargetFault.REFUSED
                harness.send(harness.request("k")).problem().outcome shouldBe Outcome.NOT_RUN
                harness.target.defaultFault = null
                harness.send(harness.request("k")) shouldBe RequestResult.Complete
            }
        }

        it("has an unknown outcome if its claim cannot be closed") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.target.defaultFault = TargetFault.STALE
                harness.store.faults = (3..40).associateWith { StoreFault.DOWN }
                val problem = harness.send(harness.request("k")).problem()
                problem.outcome shouldBe Outcome.UNKNOWN
                harness.target.runs.shouldBeEmpty()
            }
        }

        it("whose caller disconnects is recorded with an unknown outcome") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.target.workTime = 5.seconds
                val caller = launch { harness.send(harness.request("k")) }
                delay(1.seconds)
                caller.cancelAndJoin()
                delay(1.seconds)
                val problem = harness.send(harness.request("k")).problem()
                problem.outcome shouldBe Outcome.UNKNOWN
                problem.detail shouldContain "the caller went away"
            }
        }

        it("whose caller disconnects at any time leaves no pending claim, and no claim as not run if it was sent") {
            for (moment in 0..30) {
                runTest {
                    val harness = RequestTestHarness(this, RequestTestHarness.service())
                    val caller = launch { harness.send(harness.request("k")) }
                    delay(moment.milliseconds)
                    caller.cancelAndJoin()
                    delay(5.seconds)
                    val claims = harness.store.values.values.flatMap { stored ->
                        ClaimCodec.decode(stored)?.claims?.values.orEmpty()
                    }
                    withClue("cancelled after $moment ms, claims $claims") {
                        claims.none { it.state == ClaimState.Pending } shouldBe true
                        claims.any { it.state == ClaimState.NotRun } shouldBe
                            (claims.isNotEmpty() && harness.target.sent.isEmpty())
                    }
                }
            }
        }

        it("without a key, on an unknown route, or with the daemon draining is refused as not run") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.send(harness.request()).problem().kind shouldBe ProblemKind.KEY_REQUIRED
                val unknown = harness.request("k").copy(path = "/orders/1/x")
                harness.send(unknown).problem().kind shouldBe ProblemKind.UNKNOWN_ROUTE
                val escaped = harness.request("k").copy(method = "GET", path = "/orders/a%2Fb")
                harness.send(escaped).problem().kind shouldBe ProblemKind.UNKNOWN_ROUTE
                harness.daemons[0].executor.draining = true
                harness.send(harness.request("k")).problem().kind shouldBe ProblemKind.DRAINING
                harness.target.sent.shouldBeEmpty()
            }
        }
    }
})
