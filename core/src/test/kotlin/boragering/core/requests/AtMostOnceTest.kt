package boragering.core.requests

import boragering.core.Outcome
import boragering.core.ProblemKind
import boragering.core.RequestId
import boragering.core.RequestResult
import boragering.core.StoreFault
import boragering.core.TargetCall
import boragering.core.claims.Claim
import boragering.core.claims.ClaimCodec
import boragering.core.claims.ClaimState
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults of one run of the scenario, by the number of the call to the store or target. */
private data class FaultPlan(
    val store: Map<Int, StoreFault> = emptyMap(),
    val target: Map<Int, TargetFault> = emptyMap(),
)

/** The responses to callers, with the requests that the target ran and the stored claims. */
private class ScenarioResult(
    val runs: List<TargetCall>,
    val responses: List<Pair<RequestId, RequestResult>>,
    val claims: List<Claim>,
) {
    private val keys = runs.map { call -> call.headers.first { it.name == "Idempotency-Key" }.value }

    /** Keys of requests that the target ran more than once. */
    val repeatedKeys get() = keys.groupingBy { it }.eachCount().filterValues { it > 1 }.keys

    /** Requests that the target ran although their callers received the outcome "not run". */
    val falselyNotRun get() = responses.filter { (_, result) ->
        result is RequestResult.Failed && result.problem.outcome == Outcome.NOT_RUN
    }.map { it.first }.filter { request -> runs.any { it.request == request } }
}

/**
 * Two daemons receive a request with the same key at the same time. The caller then repeats the request until a
 * response shows that it ran. At the end, the scenario waits until late runs on the target have happened.
 */
private fun scenario(faults: FaultPlan): ScenarioResult {
    val responses = ArrayList<Pair<RequestId, RequestResult>>()
    lateinit var harness: RequestTestHarness
    runTest {
        harness = RequestTestHarness(this, RequestTestHarness.service(), daemons = 2)
        harness.store.faults = faults.store
        harness.target.faults = faults.target
        suspend fun send(daemon: Int) {
            val request = harness.request("key")
            responses.add(request.id to harness.send(request, daemon))
        }
        listOf(async { send(0) }, async { send(1) }).awaitAll()
        repeat(REPETITIONS) { repetition ->
            delay(PAUSE)
            if (responses.last().second != RequestResult.Complete) send(repetition % 2)
        }
        delay(SETTLE_TIME)
    }
    val claims = harness.store.values.values.flatMap { ClaimCodec.decode(it)?.claims?.values.orEmpty() }
    return ScenarioResult(harness.target.runs, responses, claims)
}

private const val REPETITIONS = 6
private const val STORE_CALLS = 14
private const val TARGET_CALLS = 4
private const val FAULT_PAIRS = 600
private val PAUSE = 300.milliseconds
private val SETTLE_TIME = 60.seconds
private val SERVICE_FAULTS = TargetFault.entries - setOf(TargetFault.FOREIGN, TargetFault.FOREIGN_PART_FIRST)

private fun check(plan: FaultPlan, record: ScenarioResult) = withClue("$plan, told ${record.responses}") {
    record.repeatedKeys.shouldBeEmpty()
    record.falselyNotRun.shouldBeEmpty()
    record.claims.filter { it.state == ClaimState.Pending }.shouldBeEmpty()
}

class AtMostOnceTest : DescribeSpec({
    // Guards against a request that runs twice, and against the outcome "not run" for a request that the target has run
    // or runs later.
    describe("a non-repeatable request on two daemons") {
        it("runs once without faults") {
            val record = scenario(FaultPlan())
            record.runs.size shouldBe 1
            record.responses
                .map { (_, result) -> (result as? RequestResult.Failed)?.problem?.kind } shouldContainExactly
                listOf(ProblemKind.DUPLICATE, null)
        }

        it("runs once if any single call to the store fails, and its outcome becomes known") {
            for (call in 1..STORE_CALLS) {
                for (fault in StoreFault.entries) {
                    val plan = FaultPlan(store = mapOf(call to fault))
                    val record = scenario(plan)
                    check(plan, record)
                    withClue("$plan, told ${record.responses}") { record.runs.size shouldBe 1 }
                }
            }
        }

        it("runs at most once if any single call to a target fails") {
            for (call in 1..TARGET_CALLS) {
                for (fault in SERVICE_FAULTS) {
                    val plan = FaultPlan(target = mapOf(call to fault))
                    check(plan, scenario(plan))
                }
            }
        }

        it("runs at most once with seeded pairs of faults") {
            val random = Random(FAULT_PAIRS)
            repeat(FAULT_PAIRS) {
                val plans = List(2) {
                    if (random.nextInt(3) > 0) {
                        FaultPlan(store = mapOf(random.nextInt(1, STORE_CALLS) to StoreFault.entries.random(random)))
                    } else {
                        FaultPlan(target = mapOf(random.nextInt(1, TARGET_CALLS) to SERVICE_FAULTS.random(random)))
                    }
                }
                val plan = FaultPlan(plans[0].store + plans[1].store, plans[0].target + plans[1].target)
                check(plan, scenario(plan))
            }
        }
    }
})
