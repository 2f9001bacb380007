package boragering.scenarios

import boragering.core.FabricDomain
import boragering.core.groups.Division
import boragering.core.groups.Member
import boragering.standins.RecordedWrite

/**
 * No instance is in two groups at any revision of the store. Another incarnation counts as another instance, because a
 * restart ends the former membership.
 */
internal class SingleGroupCheck(private val evidence: Evidence) : EvidenceCheck {
    override fun violations(): List<Violation> {
        val divisions = mutableMapOf<FabricDomain, Division>()
        return evidence.writes.filter { it.key.startsWith(Division.KEY_PREFIX) }.flatMap { write ->
            try {
                apply(write, divisions)
                repeated(divisions.values).map { violation(write, "$it is in two groups") }
            } catch (invalid: IllegalArgumentException) {
                listOf(violation(write, "${invalid.message}"))
            }
        }
    }

    private fun apply(write: RecordedWrite, divisions: MutableMap<FabricDomain, Division>) {
        val domain = FabricDomain(write.key.removePrefix(Division.KEY_PREFIX))
        val value = write.value
        if (value == null) divisions -= domain else divisions[domain] = scenarioJson.decodeFromString<Division>(value)
    }

    private fun repeated(divisions: Collection<Division>) = divisions.flatMap { division -> division.groups }
        .flatMap { it.members }.groupingBy(::identity).eachCount().filterValues { it > 1 }.keys

    private fun identity(member: Member) = "${member.instance}/${member.incarnation}"

    private fun violation(write: RecordedWrite, detail: String) =
        Violation("single group", "revision ${write.revision}, ${write.key}: $detail")
}
