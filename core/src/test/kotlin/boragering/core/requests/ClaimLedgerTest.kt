package boragering.core.requests

import boragering.core.Outcome
import boragering.core.Problem
import boragering.core.ProblemKind
import boragering.core.StoreFault
import boragering.core.claims.ClaimCodec
import boragering.core.claims.ClaimState
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private fun RequestTestHarness.ledger(daemon: Int = 0): ClaimLedger = daemons[daemon].ledger

private suspend fun RequestTestHarness.open(key: String, daemon: Int = 0): OpenResult =
    ledger(daemon).open(RequestTestHarness.service(), request(key), key, 2.seconds)

private fun OpenResult.problem(): Problem = (this as OpenResult.Rejected).problem

/** A version 7 UUID whose creation time is [milliseconds] after the Unix epoch. */
private fun uuid7(milliseconds: Long): String {
    val time = milliseconds.toString(radix = 16).padStart(length = 12, '0')
    return "${time.take(8)}-${time.drop(8)}-7abc-8def-0123456789ab"
}

class ClaimLedgerTest : DescribeSpec({
    describe("claims that arrive while a write is in progress") {
        it("share the next write, so that the store's write rate does not limit requests") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                val single = ClaimLedger(harness.daemons[0].ports, backgroundScope, shardCount = 1)
                val keys = List(100) { "key-$it" }
                keys.map { key ->
                    async { single.open(RequestTestHarness.service(), harness.request(key), key, 2.seconds) }
                }.awaitAll().forEach { it.shouldBeInstanceOf<OpenResult.Claimed>() }
                harness.store.writes shouldBeLessThanOrEqual 2
            }
        }

        it("are merged with those of another daemon, without losing one") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service(), daemons = 2)
                val ledgers = harness.daemons.map { ClaimLedger(it.ports, backgroundScope, shardCount = 1) }
                List(60) { number ->
                    async {
                        ledgers[number % 2]
                            .open(
                                RequestTestHarness.service(),
                                harness.request("key-$number"),
                                "key-$number",
                                2.seconds,
                            )
                    }
                }.awaitAll().forEach { it.shouldBeInstanceOf<OpenResult.Claimed>() }
                ClaimCodec.decode(harness.store.values.values.single())?.claims?.size shouldBe 60
            }
        }
    }

    describe("a write whose response was lost") {
        for (delayedBy in listOf(40.milliseconds, 20.seconds)) {
            it("that is delayed by $delayedBy leaves no pending claim after the caller was told of the failure") {
                runTest {
                    val harness = RequestTestHarness(this, RequestTestHarness.service())
                    harness.store.delayedWriteLatency = delayedBy
                    // The write is delayed, and all of the limited attempts to read the claim back from the store fail.
                    harness.store.faults = mapOf(2 to StoreFault.DELAYED) + (3..8).associateWith { StoreFault.DOWN }
                    harness.open("key").problem().outcome shouldBe Outcome.UNKNOWN
                    delay(30.seconds)
                    val claims = ClaimCodec.decode(harness.store.values.values.single())?.claims
                    claims?.values?.single()?.state shouldBe ClaimState.NotRun
                }
            }
        }
    }

    describe("a claim") {
        it("is refused at once as not run while the store is down") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.store.down = true
                val before = testScheduler.currentTime
                val problem = harness.open("key").problem()
                problem.kind shouldBe ProblemKind.STORE_UNAVAILABLE
                problem.outcome shouldBe Outcome.NOT_RUN
                problem.retryAfterSeconds shouldBe 1
                testScheduler.currentTime - before shouldBeLessThan 100L
            }
        }

        it("of a lost daemon stays pending and is not taken over") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service(), daemons = 2)
                harness.open("key", daemon = 0).shouldBeInstanceOf<OpenResult.Claimed>()
                delay(12.hours)
                val problem = harness.open("key", daemon = 1).problem()
                problem.kind shouldBe ProblemKind.DUPLICATE
                problem.outcome shouldBe Outcome.UNKNOWN
            }
        }

        for (jump in listOf(2.days, (-2).days)) {
            it("is kept when the wall clock jumps by $jump") {
                runTest {
                    val harness = RequestTestHarness(this, RequestTestHarness.service())
                    if (jump.isNegative()) harness.wallJump = jump
                    harness.open("key").shouldBeInstanceOf<OpenResult.Claimed>()
                    harness.wallJump = if (jump.isNegative()) 0.days else jump
                    harness.open("key").problem().kind shouldBe ProblemKind.DUPLICATE
                }
            }
        }

        it("with another fingerprint is refused") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                harness.open("key")
                val other = harness.request("key", body = "{\"other\":1}")
                val problem = harness.ledger().open(RequestTestHarness.service(), other, "key", 2.seconds).problem()
                problem.status shouldBe 422
            }
        }

        it("is removed by a later write after its retention") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                val single = ClaimLedger(harness.daemons[0].ports, backgroundScope, shardCount = 1)
                single.open(RequestTestHarness.service(), harness.request("old"), "old", 2.seconds)
                delay(1.days + 6.minutes)
                single.open(RequestTestHarness.service(), harness.request("new"), "new", 2.seconds)
                ClaimCodec.decode(harness.store.values.values.single())?.claims?.values.orEmpty() shouldHaveSize 1
            }
        }
    }

    describe("a key that contains its creation time") {
        it("is refused when its claim may have been removed, and when it is from the future") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                val now = harness.clock.wallMilliseconds()
                harness.open(uuid7(now - 23.hours.inWholeMilliseconds)).shouldBeInstanceOf<OpenResult.Claimed>()
                val old = harness.open(uuid7(now - (24.hours - 4.minutes).inWholeMilliseconds)).problem()
                old.kind shouldBe ProblemKind.KEY_EXPIRED
                old.outcome shouldBe Outcome.UNKNOWN
                val future = harness.open(uuid7(now + 6.minutes.inWholeMilliseconds)).problem()
                future.kind shouldBe ProblemKind.INVALID_REQUEST
            }
        }
    }

    describe("a full shard") {
        it("refuses new claims as not run, stays under 1 MB, and still closes claims") {
            runTest {
                val harness = RequestTestHarness(this, RequestTestHarness.service())
                val single = ClaimLedger(harness.daemons[0].ports, backgroundScope, shardCount = 1)
                val opened = List(4_000) { number ->
                    async {
                        single.open(
                            RequestTestHarness.service(),
                            harness.request("key-$number"),
                            "key-$number",
                            60.seconds,
                        )
                    }
                }.awaitAll()
                val held = opened.filterIsInstance<OpenResult.Claimed>()
                val refused = opened.filterIsInstance<OpenResult.Rejected>()
                refused.map { it.problem.outcome }.toSet() shouldBe setOf(Outcome.NOT_RUN)
                val finished = ClaimState.Finished(status = 201, "application/json", "x".repeat(2_700))
                held.map { async { single.close(it.claim, finished, 60.seconds) } }.awaitAll().toSet() shouldBe
                    setOf(true)
                val stored = harness.store.values.values.single()
                val claims = checkNotNull(ClaimCodec.decode(stored)).claims
                claims.values.count { it.state is ClaimState.Finished } shouldBe held.size
                stored.value.length shouldBeLessThan 1_000_000
                stored.value.length shouldBeLessThanOrEqual claims.values.sumOf { it.encodedSize }
            }
        }
    }
})
