package boragering.client

import arrow.core.raise.Raise
import boragering.core.groups.GroupPhase
import boragering.core.groups.GroupStatus
import boragering.core.groups.GroupsAnswer
import boragering.core.operators.StatusAnswer
import boragering.core.timeline.TimelineText
import kotlinx.serialization.Serializable

/** The state of the whole system, as `--output json` prints it. */
@Serializable
internal data class SystemStatus(val daemons: List<StatusAnswer>, val unreachable: List<String>)

internal class StatusCommand : RemoteCommand("Shows the state of all daemons, entries and findings.") {
    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val answers = ArrayList<StatusAnswer>()
        val call = OperatorCall("/operator/status")
        val unreachable = daemons.readAll(this, call, StatusAnswer.serializer()) { answers += it }
        val status = SystemStatus(answers.sortedBy { it.daemon.value }, unreachable)
        return Result(ExitCode.SUCCESS, text(status), Answers.text(SystemStatus.serializer(), status))
    }

    private fun text(status: SystemStatus): String =
        listOf(daemons(status.daemons), entries(status.daemons), findings(status.daemons), notes(status.unreachable))
            .filter { it.isNotEmpty() }
            .joinToString("\n\n")

    private fun daemons(daemons: List<StatusAnswer>): String {
        val rows = daemons.map {
            val state = if (it.draining) "draining" else if (it.ready) "ready" else "not ready"
            val revision = it.catalogueRevision?.toString() ?: "none"
            val store = if (it.storeReachable) "reachable" else "not reachable"
            listOf(it.daemon.value, it.availabilityZone.value, state, revision, store, "${it.liveDaemons.size}")
        }
        return table(listOf("DAEMON", "ZONE", "STATE", "CATALOGUE", "STORE", "SEES LIVE"), rows)
    }

    /** Each daemon knows its own requests and the groups that it holds, so that requests add up and groups do not. */
    private fun entries(daemons: List<StatusAnswer>): String {
        val byName = daemons.flatMap { it.entries }.groupBy { it.entry.value }.toSortedMap()
        val rows = byName.map { (name, seen) ->
            val wanted = seen.firstNotNullOfOrNull { it.wanted }?.toString() ?: "-"
            val whole = seen.maxOf { it.whole }
            listOf(name, wanted, "$whole", "${seen.sumOf { it.queued }}", "${seen.sumOf { it.inFlight }}")
        }
        return table(listOf("ENTRY", "WANTED", "WHOLE", "QUEUED", "IN FLIGHT"), rows)
    }

    private fun findings(daemons: List<StatusAnswer>): String {
        val rows = daemons.flatMap { it.findings }.distinct().map {
            val since = TimelineText.time(it.sinceMilliseconds)
            listOf(it.entry.value, it.domain?.value ?: "-", "${it.whole} of ${it.wanted}", since, it.reason)
        }
        return if (rows.isEmpty()) "" else table(listOf("FINDING", "DOMAIN", "WHOLE", "SINCE", "REASON"), rows)
    }

    private fun notes(unreachable: List<String>): String =
        unreachable.joinToString("\n") { printable("no status of $it") }
}

internal class GroupsCommand : RemoteCommand("Lists the groups with one daemon's view of their health.") {
    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val answer = daemons.read(this, OperatorCall("/operator/groups"), GroupsAnswer.serializer())
        val text = table(HEADER, answer.groups.map(::row))
        return Result(ExitCode.SUCCESS, text, Answers.text(GroupsAnswer.serializer(), answer))
    }

    private fun row(status: GroupStatus): List<String> = listOf(
        status.group.id.value,
        status.group.entry.value,
        status.domain.value,
        status.group.fence.toString(),
        if (status.group.phase is GroupPhase.Draining) "draining" else "active",
        if (status.whole) "whole" else "not whole",
        status.evidenceAgeMilliseconds?.let { "${it}ms" } ?: "-",
        "${status.running}/${status.slots}",
        status.group.members.joinToString { it.instance.value },
    )

    private companion object {
        val HEADER = listOf("GROUP", "ENTRY", "DOMAIN", "FENCE", "PHASE", "HEALTH", "AGE", "RUNNING", "MEMBERS")
    }
}
