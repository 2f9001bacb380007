package boragering.scenarios

import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.core.membership.Registration
import boragering.standins.ServiceFaults
import boragering.standins.StoreFaults
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

/** Faults of daemons, of the store, and of operators; the evidence of each run is checked. */
class ControlFaultScenarioTest : DescribeSpec({
    describe("two operators who apply at once through two daemons") {
        it("have one change accepted, in force everywhere within 20 s, and kept by a restart without the store") {
            scenario {
                val base = daemons.first().operators.catalogue().revision
                val answers = coroutineScope {
                    daemons.take(2).map { daemon ->
                        val change = modelChange(base, daemon.name) { copy(owner = owner(daemon.name)) }
                        async { daemon.operators.apply(change) }
                    }.awaitAll()
                }
                answers.map { it.result } shouldContainExactlyInAnyOrder
                    listOf(ApplyResult.ACCEPTED, ApplyResult.CONFLICT)
                val accepted = answers.indexOfFirst { it.result == ApplyResult.ACCEPTED }
                val refused = answers.first { it.result == ApplyResult.CONFLICT }
                refused.conflicting shouldBe listOf("entries/${DemoPlan.MODEL}")
                val revision = base + 1
                answers[accepted].revision shouldBe revision
                awaitTrue("the change is in force on every daemon", IN_FORCE_LIMIT) {
                    daemons.all { it.operators.catalogue().revision == revision }
                }

                store.faults(StoreFaults(outage = true))
                daemons.last().restart()
                val first = await("the restarted daemon has a catalogue") {
                    daemons.last().operators.catalogue().takeIf { it.revision > 0 }
                }
                first.revision shouldBe revision
                first.catalogue shouldContain owner(daemons[accepted].name)
                daemons.map { it.operators.catalogue().revision }.distinct() shouldBe listOf(revision)
            }
        }
    }

    describe("a store whose answers to claims are lost after the writes took effect") {
        it("has each booking run once, and its repetition at another daemon gets the recorded answer") {
            scenario {
                awaitBooking(booking("first"))
                store.faults(StoreFaults(loseResponses = -1, losePrefix = "boragering/claims/"))
                val keys = daemons.map { "claim-lost-at-${it.name}" }
                val answers = daemons.zip(keys).map { (daemon, key) -> caller(daemon).send(booking(key)) }
                val repeated = daemons.reversed().zip(keys).map { (daemon, key) -> caller(daemon).send(booking(key)) }

                val texts = answers.map { it.shouldBeInstanceOf<CallOutcome.Complete>().text }
                repeated.map { it.shouldBeInstanceOf<CallOutcome.Complete>().text } shouldBe texts
                store.counters().lostResponses shouldBeGreaterThanOrEqual keys.size
                val runs = evidence().services.flatMap { it.requests }.map { it.idempotencyKey }
                runs.filter { it in keys } shouldContainExactlyInAnyOrder keys
            }
        }
    }

    describe("a daemon that is paused until its lease has lapsed, and resumes") {
        it("is a daemon like the others again, and no request reaches a group with a missing member") {
            scenario {
                val others = GroupView(daemons.drop(1), DemoPlan.MODEL)
                val all = GroupView(daemons, DemoPlan.MODEL)
                val victim = all.awaitWhole(DemoPlan.REPLICAS).first().group
                underLoad {
                    daemons[0].process.signal(Signal.STOP)
                    val member = engine(victim.members.first { it.instance != victim.leader }.instance.value)
                    member.kill()
                    others.awaitNotWhole(victim)
                    others.awaitWhole(DemoPlan.REPLICAS)
                    awaitTrue("the lease of the paused daemon has lapsed") {
                        store.record().any { it.key.startsWith(Registration.KEY_PREFIX) && it.value == null }
                    }
                    daemons[0].process.signal(Signal.CONTINUE)
                    awaitTrue("every daemon lists all again") {
                        daemons.all { it.operators.peers().daemons.size == daemons.size }
                    }
                    all.awaitWhole(DemoPlan.REPLICAS)
                }
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 4)
                caller(daemons[0]).complete(chat).shouldBeInstanceOf<CallOutcome.Complete>()
            }
        }
    }

    describe("a daemon that is killed while it serves a stream and a booking") {
        it("leaves both visibly broken, and no other daemon runs the booking again") {
            scenario {
                GroupView(daemons, DemoPlan.MODEL).awaitWhole(DemoPlan.REPLICAS)
                awaitBooking(booking("first"))
                services.forEach { it.faults(ServiceFaults(slowFactor = SLOW_BOOKING)) }
                val chat = ChatCall(DemoPlan.MODEL, userMessage("hello"), maxTokens = 1_000)
                val parts = CopyOnWriteArrayList<String>()
                coroutineScope {
                    val stream = async { caller(daemons[0]).complete(chat) { parts += it } }
                    val sent = async { caller(daemons[0]).send(booking("cut")) }
                    awaitTrue("the stream has begun and the booking runs") { parts.isNotEmpty() && runs("cut") == 1 }
                    daemons[0].process.signal(Signal.KILL)

                    listOf(stream, sent).awaitAll().forEach { it.shouldBeInstanceOf<CallOutcome.Broken>() }
                }
                daemons.drop(1).forEach {
                    val refused = caller(it).send(booking("cut")).shouldBeInstanceOf<CallOutcome.Refused>()
                    refused.problem?.outcome shouldBe "unknown"
                }
                runs("cut") shouldBe 1
            }
        }
    }

    describe("a change of a model's version") {
        it("replaces every group without a broken answer") {
            scenario {
                val view = GroupView(daemons, DemoPlan.MODEL)
                view.awaitWhole(DemoPlan.REPLICAS)
                underLoad {
                    val base = daemons[0].operators.catalogue().revision
                    val change = modelChange(base, "new-version") { copy(modelVersion = "4") }
                    daemons[0].operators.apply(change).result shouldBe ApplyResult.ACCEPTED
                    awaitTrue("only groups of the new version, and all of them whole") {
                        daemons.map { view.groups(it) }.all { groups ->
                            groups.size == DemoPlan.REPLICAS && groups.all { it.whole && it.group.modelVersion == "4" }
                        }
                    }
                }
                evidence().calls.filter { it.outcome is CallOutcome.Broken } shouldBe emptyList()
            }
        }
    }
})

/** Makes a booking take 10 s, longer than it takes to notice that it runs. */
private const val SLOW_BOOKING = 1_000.0

/** How long after its acceptance a change may take until it is in force everywhere. */
private val IN_FORCE_LIMIT = 20.seconds

private fun owner(author: String) = "owner-chosen-at-$author"

/** A change of the model entry by [author], based on revision [base]. */
private fun Deployment.modelChange(
    base: Long,
    author: String,
    change: EntryDocument.() -> EntryDocument
): ApplyRequest {
    val entries = plan.entries.map { if (it.name == DemoPlan.MODEL) it.change() else it }
    return ApplyRequest("token-$author", author, base, catalogue(entries))
}

/** How often services have run the booking with [key]. */
private suspend fun Deployment.runs(key: String): Int =
    evidence().services.flatMap { it.requests }.count { it.idempotencyKey == key }

private suspend fun DaemonHandle.restart() {
    process.signal(Signal.KILL)
    process.awaitExit()
    start()
    awaitLive()
}
