package boragering.fleet

import boragering.core.Severity
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Checks a configuration before gateways get it. */
object ConfigurationCheck {
    /**
     * Returns what is wrong or doubtful in [stated]. [inForce] is the version in force, which gateways replace only by
     * a higher one; `null` if it is not known.
     */
    fun findings(stated: StatedConfiguration, inForce: Long? = null): PersistentList<ConfigurationFinding> = listOf(
        listOfNotNull(version(stated.configuration.version, inForce)),
        ReferenceCheck.findings(stated),
        ValueCheck.findings(stated),
        UnmatchedEntryCheck.findings(stated),
        ContradictingLimitCheck.findings(stated),
    ).flatten().toPersistentList()

    private fun version(version: Long, inForce: Long?): ConfigurationFinding? =
        if (inForce == null || version > inForce) {
            null
        } else {
            ConfigurationFinding(
                Severity.ERROR,
                ConfigurationPart.Document,
                ConfigurationField.VERSION,
                "is not above the version in force, so that gateways ignore the document",
                "more than $inForce",
            )
        }
}

/** The positions of items of which an earlier one has the same [key], in ascending order. */
internal fun <T, K> List<T>.repeatedPositions(key: (T) -> K): List<Int> {
    val seen = HashSet<K>()
    return indices.filterNot { seen.add(key(this[it])) }
}
