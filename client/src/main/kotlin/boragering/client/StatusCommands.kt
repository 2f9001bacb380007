package boragering.client

import arrow.core.raise.Raise
import boragering.core.GroupPhase
import boragering.core.GroupStatus
import boragering.core.GroupsAnswer
import boragering.core.StatusAnswer
import boragering.core.TimelineText

internal class StatusCommand : RemoteCommand("Shows one daemon's view: entries, findings, live daemons.") {
    override suspend fun Raise<CommandFailure>.ask(daemons: Daemons, console: Console): Result {
        val answer = daemons.read(this, OperatorCall("/operator/status"), StatusAnswer.serializer())
        return Result(ExitCode.SUCCESS, text(answer), Answers.text(StatusAnswer.serializer(), answer))
    }

    private fun text(answer: StatusAnswer): String = listOf(summary(answer), entries(answer), findings(answer))
        .filter { it.isNotEmpty() }.joinToString("\n\n")

    private fun summary(answer: StatusAnswer): String = listOf(
        "daemon        ${answer.daemon} (${answer.region}, ${answer.availabilityZone})",
        "state         " + if (answer.draining) "draining" else if (answer.ready) "ready" else "not ready",
        "catalogue     " + (answer.catalogueRevision?.let { "revision $it" } ?: "none"),
        "store         " + if (answer.storeReachable) "reachable" else "not reachable",
        "live daemons  ${answer.liveDaemons.size}",
    ).joinToString("\n") { printable(it) }

    private fun entries(answer: StatusAnswer): String {
        val rows = answer.entries.map {
            listOf(it.entry.value, it.wanted?.toString() ?: "-", "${it.whole}", "${it.queued}", "${it.inFlight}")
        }
        return table(listOf("ENTRY", "WANTED", "WHOLE", "QUEUED", "IN FLIGHT"), rows)
    }

    private fun findings(answer: StatusAnswer): String {
        val rows = answer.findings.map {
            val since = TimelineText.time(it.sinceMilliseconds)
            listOf(it.entry.value, it.domain?.value ?: "-", "${it.whole} of ${it.wanted}", since, it.reason)
        }
        return if (rows.isEmpty()) "" else table(listOf("FINDING", "DOMAIN", "WHOLE", "SINCE", "REASON"), rows)
    }
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
