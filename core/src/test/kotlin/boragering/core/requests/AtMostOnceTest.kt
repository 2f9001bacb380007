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

/** Faults of one run of the scenario, by the number of the call. */
private data class FaultPlan(
    val store: Map<Int, StoreFault> = emptyMap(),
    val target: Map<Int, TargetFault> = emptyMap(),
)

/** What the callers were told, with the target's own record of what it ran. */
private class ScenarioRecord(
    val runs: List<TargetCall>,
    val told: List<Pair<RequestId, RequestResult>>,
    val claims: List<Claim>,
) {
    private val keys = runs.map { call -> call.headers.first { it.name == "Idempotency-Key" }.value }

    /** Keys that the target ran more than once. */
    val repeatedKeys get() = keys.groupingBy { it }.eachCount().filterValues { it > 1 }.keys

    /** Requests that the target ran although their callers were told that they were not run. */
    val falselyNotRun get() = told.filter { (_, result) ->
        result is RequestResult.Failed && result.problem.outcome == Outcome.NOT_RUN
    }.map { it.first }.filter { request -> runs.any { it.request == request } }
}

/**
 * Two daemons get a request with the same key at the same moment; the caller then repeats it until it knows that it
 * ran, and the target's late work gets time to happen.
 */
private fun scenario(faults: FaultPlan): ScenarioRecord {
    val told = ArrayList<Pair<RequestId, RequestResult>>()
    lateinit var world: RequestWorld
    runTest {
        world = RequestWorld(this, RequestWorld.service(), daemons = 2)
        world.store.faults = faults.store
        world.target.faults = faults.target
        suspend fun send(daemon: Int) {
            val request = world.request("key")
            told.add(request.id to world.send(request, daemon))
        }
        listOf(async { send(0) }, async { send(1) }).awaitAll()
        repeat(REPETITIONS) { repetition ->
            delay(PAUSE)
            if (told.last().second != RequestResult.Complete) send(repetition % 2)
        }
        delay(AFTERWARDS)
    }
    val claims = world.store.values.values.flatMap { ClaimCodec.decode(it)?.claims?.values.orEmpty() }
    return ScenarioRecord(world.target.runs, told, claims)
}

private const val REPETITIONS = 6
private const val STORE_CALLS = 14
private const val TARGET_CALLS = 4
private const val PAIRS = 600
private val PAUSE = 300.milliseconds
private val AFTERWARDS = 60.seconds
private val SERVICE_FAULTS = TargetFault.entries - setOf(TargetFault.FOREIGN, TargetFault.LEAKED)

private fun check(plan: FaultPlan, record: ScenarioRecord) = withClue("$plan, told ${record.told}") {
    record.repeatedKeys.shouldBeEmpty()
    record.falselyNotRun.shouldBeEmpty()
    record.claims.filter { it.state == ClaimState.Pending }.shouldBeEmpty()
}

class AtMostOnceTest : DescribeSpec({
    // Guards against a second run of a request, and against "not run" for one that the target runs at any time.
    describe("a non-repeatable request on two daemons") {
        it("runs once without faults") {
            val record = scenario(FaultPlan())
            record.runs.size shouldBe 1
            record.told.map { (_, result) -> (result as? RequestResult.Failed)?.problem?.kind } shouldContainExactly
                listOf(ProblemKind.DUPLICATE, null)
        }

        it("runs once whatever single call to the store fails, and its outcome becomes known") {
            for (call in 1..STORE_CALLS) {
                for (fault in StoreFault.entries) {
                    val plan = FaultPlan(store = mapOf(call to fault))
                    val record = scenario(plan)
                    check(plan, record)
                    withClue("$plan, told ${record.told}") { record.runs.size shouldBe 1 }
                }
            }
        }

        it("runs at most once whatever single call to a target fails") {
            for (call in 1..TARGET_CALLS) {
                for (fault in SERVICE_FAULTS) {
                    val plan = FaultPlan(target = mapOf(call to fault))
                    check(plan, scenario(plan))
                }
            }
        }

        it("runs at most once with seeded pairs of faults") {
            val random = Random(PAIRS)
            repeat(PAIRS) {
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
