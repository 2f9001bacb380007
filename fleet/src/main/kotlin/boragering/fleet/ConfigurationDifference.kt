package boragering.fleet

import boragering.core.catalogue.DifferenceKind
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable

/**
 * One difference between two configurations. [name] identifies a route, a service, an organisation or the limits;
 * [fields] lists the values that differ if both configurations contain [name].
 */
@Serializable
data class ConfigurationDifference(
    val name: String,
    val kind: DifferenceKind,
    val fields: List<FieldDifference> = emptyList(),
)

/** The values of [field] in the version in force and in the checked one; `null` if it has none there. */
@Serializable
data class FieldDifference(val field: String, val before: String?, val after: String?)

/** A value that is compared by [content] and shown as [shown]. It has no text form, because it may be a secret. */
class ComparedValue(val content: String, val shown: String = content)

/** The values of one route, service or organisation, by their names. */
typealias ComparedEntry = Map<String, ComparedValue>

/** Compares configurations by their entries. */
object ConfigurationDifferences {
    /** Returns the differences that lead from [before] to [after], sorted by name; the fields are sorted as well. */
    fun between(
        before: Map<String, ComparedEntry>,
        after: Map<String, ComparedEntry>,
    ): PersistentList<ConfigurationDifference> =
        (before.keys + after.keys).sorted().mapNotNull { difference(it, before[it], after[it]) }.toPersistentList()

    private fun difference(name: String, old: ComparedEntry?, new: ComparedEntry?): ConfigurationDifference? = when {
        old == null -> ConfigurationDifference(name, DifferenceKind.ADDED)
        new == null -> ConfigurationDifference(name, DifferenceKind.REMOVED)
        else -> fields(old, new).takeIf { it.isNotEmpty() }
            ?.let { ConfigurationDifference(name, DifferenceKind.CHANGED, it) }
    }

    private fun fields(old: ComparedEntry, new: ComparedEntry): List<FieldDifference> =
        (old.keys + new.keys).sorted().filter { old[it]?.content != new[it]?.content }
            .map { FieldDifference(it, old[it]?.shown, new[it]?.shown) }
}
