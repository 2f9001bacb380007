package boragering.scenarios

import boragering.standins.ServiceFaults
import boragering.standins.StoreFaults
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

/** Faults of the platform and of processes, with callers at work; the evidence of each run is checked. */
class FailureScenarioTest : DescribeSpec({
    describe("a paused member that returns as if nothing had happened") {
        it("keeps its group from requests until it is whole again, and every answer is complete or visibly broken") {
            scenario {
                val view = GroupView(daemons, DemoPlan.MODEL)
                val victim = view.awaitWhole(DemoPlan.REPLICAS).first()
                val member = engine(victim.group.members.first { it.instance != victim.group.leader }.instance.value)
                underLoad {
                    member.pause()
                    view.awaitNotWhole(victim.group)
                    val whole = view.awaitWhole(DemoPlan.REPLICAS)
                    member.resume()
                    awaitTrue("the returned member is released") { member.status().group == null }
                    whole.flatMap { it.group.members }.none { it.instance.value == member.id } shouldBe true
                }
                evidence().calls.count { it.outcome is CallOutcome.Complete } shouldBeGreaterThan 0
            }
        }
    }

    describe("an outage of the store") {
        it("refuses bookings as not run while completions go on, and books them afterwards") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                store.faults(StoreFaults(outage = true))

                val refused = caller(daemons[0]).send(booking("k1")).shouldBeInstanceOf<CallOutcome.Refused>()
                refused.problem?.outcome shouldBe "not-run"
                refused.retryAfter shouldNotBe null
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 4)
                caller(daemons[1]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
                store.faults(StoreFaults())
                awaitBooking(booking("k1"))
            }
        }
    }

    describe("a booking that the service ran before it closed the connection") {
        it("is reported as unknown and not run again, at any daemon") {
            scenario {
                awaitBooking(booking("first"))
                services.forEach { it.faults(ServiceFaults(runThenClose = 1)) }

                val outcomes = daemons.map { caller(it).send(booking("lost")) }

                outcomes.forEach { it.shouldBeInstanceOf<CallOutcome.Refused>().problem?.outcome shouldBe "unknown" }
                evidence().services.flatMap { it.requests }.count { it.idempotencyKey == "lost" } shouldBe 1
            }
        }
    }

    describe("a daemon that is terminated") {
        it("finishes the stream that it serves and ends with exit code 0") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 100)
                val parts = mutableListOf<String>()
                coroutineScope {
                    val answer = async { caller(daemons[0]).complete(chat) { parts += it } }
                    awaitTrue("the stream has begun") { parts.isNotEmpty() }
                    daemons[0].process.signal(Signal.TERMINATE)

                    answer.await().shouldBeInstanceOf<CallOutcome.Complete>()
                }
                daemons[0].process.awaitExit(20.seconds) shouldBe 0
            }
        }
    }

    describe("a daemon that is killed") {
        it("leaves the repair of groups and the callers to the others") {
            scenario {
                val view = GroupView(daemons.drop(1), DemoPlan.MODEL)
                val victim = view.awaitWhole(DemoPlan.REPLICAS).first().group
                daemons[0].process.signal(Signal.KILL)
                engine(victim.members.first { it.instance != victim.leader }.instance.value).kill()
                view.awaitNotWhole(victim)
                view.awaitWhole(DemoPlan.REPLICAS)

                // A daemon is lost about 8 s after it stopped to answer; the repair can be done before.
                awaitTrue("the killed daemon is lost") { daemons[1].operators.peers().daemons.size == daemons.size - 1 }
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 4)
                caller(daemons[1]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
            }
        }
    }

    describe("a daemon that is cut off from the store and the live list") {
        it("goes on serving completions, and takes bookings when the links are back") {
            val plan = DemoPlan.plan.copy(
                daemons = DemoPlan.plan.daemons.set(0, DemoPlan.plan.daemons[0].copy(proxiedPlatform = true)),
            )
            scenario(plan) {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                val links = checkNotNull(daemons[0].links)
                listOf(links.store, links.liveList).forEach { it.cut() }

                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 4)
                caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
                caller(daemons[0]).send(booking("cut")).shouldBeInstanceOf<CallOutcome.Refused>()
                listOf(links.store, links.liveList).forEach { it.heal() }
                awaitBooking(booking("cut"))
            }
        }
    }

    describe("an instance that the live list announces as leaving") {
        it("gets no new request once the list has been seen, and its group is replaced without a broken answer") {
            scenario {
                val view = GroupView(daemons, DemoPlan.MODEL)
                val victim = view.awaitWhole(DemoPlan.REPLICAS).first().group
                val leader = engine(victim.leader.value)
                var announced = 0L
                underLoad {
                    liveList.leave(leader)
                    announced = System.currentTimeMillis()
                    view.awaitWhole(DemoPlan.REPLICAS, without = victim.leader)
                }
                val accepted = leader.records().flatMap { it.requests }.map { it.accepted }
                accepted.filter { it > announced + LEAVING_LIMIT_MILLISECONDS } shouldBe emptyList()
                evidence().calls.filter { it.outcome !is CallOutcome.Complete } shouldBe emptyList()
            }
        }
    }
})

/** How long after the first sign of leaving a target may get new work. */
private const val LEAVING_LIMIT_MILLISECONDS = 3_000
