package boragering.scenarios

import boragering.core.InstanceId
import boragering.core.groups.GroupStatus
import java.io.PrintStream
import java.util.UUID
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Shows what the system does, step by step, on [out]; a step that goes wrong throws. */
internal class Demo(private val deployment: Deployment, private val out: PrintStream) {
    private val summary = mutableListOf<String>()
    private val view = GroupView(deployment.daemons, DemoPlan.MODEL)

    suspend fun run() = with(deployment) {
        step("Starting ${daemons.size} daemons in front of ${engines.size} engines and ${services.size} instances")
        startDaemons()
        applyWithClient()
        step("Waiting for ${DemoPlan.REPLICAS} whole groups")
        val groups = view.awaitWhole(DemoPlan.REPLICAS)
        groups.forEach { out.println("  ${view.describe(it)}") }
        summary += "${groups.size} groups whole on all daemons"
        complete("Summarise the survey of the north canopy.")
        bookTwice()
        killMember(groups.first())
        complete("Write the fitting note for the north canopy.")
        showTimeline()
        evidence().verify()
        summary += "no violation in the records of engines, services, the store and callers"
        step("Summary")
        summary.forEach { out.println("  $it") }
    }

    private suspend fun applyWithClient() = with(deployment) {
        step("Applying the catalogue with boragerctl")
        val file = directory.resolve("catalogue.json").apply { writeText(catalogue()) }
        val token = UUID.randomUUID().toString()
        val command = listOf("catalogue", "apply", "$file", "--base-revision", "0", "--token", token)
        val result = await("boragerctl applies the catalogue") {
            // While daemons start, the client reports that the store or the daemons cannot be reached yet.
            operator.ask(command).takeIf { it.exitCode !in setOf(EXIT_UNKNOWN, EXIT_UNREACHABLE) }
        }
        check(result.exitCode == 0) { "the catalogue was not applied: ${result.output}${result.errors}" }
        out.println(result.output.trimEnd().prependIndent("  "))
        daemons.forEach { it.awaitReady() }
    }

    private suspend fun complete(question: String) {
        step("Asking ${DemoPlan.MODEL}: $question")
        out.print("  ")
        val call = ChatCall(DemoPlan.MODEL, userMessage(question), ANSWER_TOKENS)
        val outcome = deployment.caller(deployment.daemons.last()).complete(call) {
            out.print(it)
            out.flush()
        }
        out.println()
        check(outcome is CallOutcome.Complete) { "the completion failed: $outcome" }
        summary += "completion ${outcome.request}: $ANSWER_TOKENS tokens, complete"
    }

    private suspend fun bookTwice() = with(deployment) {
        step("Booking one order twice with the same Idempotency-Key, at two daemons")
        val key = UUID.randomUUID().toString()
        val call = ServiceCall(DemoPlan.SERVICE, "POST", "/orders", ORDER, key)
        val bookings = daemons.take(2).map { daemon ->
            await("${daemon.name} answers the booking") { caller(daemon).send(call) as? CallOutcome.Complete }
                .also { out.println("  ${daemon.name}: ${it.status} ${it.text}") }
        }
        val runs = services.flatMap { it.records() }.flatMap { it.requests }.count { it.idempotencyKey == key }
        check(bookings.map { it.text }.distinct().size == 1) { "the two bookings got different answers: $bookings" }
        check(runs == 1) { "the service ran the booking $runs times" }
        out.println("  the service's own record: $runs run")
        summary += "one booking sent twice ran once"
    }

    private suspend fun killMember(victim: GroupStatus) = with(deployment) {
        val member = victim.group.members.first { it.instance != victim.group.leader }.instance
        step("Killing $member, a member of group ${victim.group.id}")
        val killed = TimeSource.Monotonic.markNow()
        engine(member.value).kill()
        view.awaitNotWhole(victim.group)
        val stopped = killed.elapsedNow()
        out.println("  the group is out of service after ${stopped.withUnit()}")
        val groups = view.awaitWhole(DemoPlan.REPLICAS, without = member)
        val restored = killed.elapsedNow()
        groups.forEach { out.println("  ${view.describe(it)}") }
        out.println("  ${groups.size} whole groups again after ${restored.withUnit()}")
        summary += killed(member, stopped, restored)
    }

    private fun killed(member: InstanceId, stopped: Duration, restored: Duration) =
        "$member killed: group out of service after ${stopped.withUnit()}, whole again after ${restored.withUnit()}"

    private suspend fun showTimeline() {
        step("The timeline of all daemons")
        val result = deployment.operator.ask(listOf("timeline"))
        check(result.exitCode == 0) { "boragerctl timeline ended with ${result.exitCode}: ${result.errors}" }
        check(result.output.isNotBlank()) { "the timeline is empty" }
        out.println(result.output.trimEnd().prependIndent("  "))
    }

    private fun step(title: String) = out.println("\n== $title")

    private companion object {
        const val ANSWER_TOKENS = 12
        const val EXIT_UNKNOWN = 3
        const val EXIT_UNREACHABLE = 4
        const val ORDER = """{"spikes": 240, "site": "north canopy"}"""
    }
}
