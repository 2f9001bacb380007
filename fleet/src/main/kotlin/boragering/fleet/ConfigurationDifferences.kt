package boragering.fleet

import boragering.core.catalogue.DifferenceKind
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

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
        (old.keys + new.keys).sorted().mapNotNull { field(it, old[it], new[it]) }

    private fun field(name: String, old: ComparedValue?, new: ComparedValue?): FieldDifference? =
        if (old is ComparedValue.Keys && new is ComparedValue.Keys) {
            val removed = masked(old.keys - new.keys, "removed")
            val added = masked(new.keys - old.keys, "added")
            FieldDifference(name, removed, added).takeIf { old.keys != new.keys }
        } else {
            FieldDifference(name, shown(old), shown(new)).takeIf { old != new }
        }

    private fun shown(value: ComparedValue?): String? = when (value) {
        is ComparedValue.Text -> value.content
        is ComparedValue.Keys -> masked(value.keys, "stated")
        null -> null
    }

    /** Different keys can have the same masked form, so that [change] tells what became of them. */
    private fun masked(keys: Set<String>, change: String): String =
        if (keys.isEmpty()) "no key $change" else keys.sorted().joinToString(postfix = " ($change)") { KeyMask.of(it) }
}
