package boragering.core.catalogue

import boragering.core.EntryName
import boragering.core.OrganisationName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * One difference between two catalogues. [name] is `entries/<name>` or `organisations/<name>`; [details] lists the
 * values that differ if both catalogues contain [name].
 */
@Serializable
data class CatalogueDifference(val name: String, val kind: DifferenceKind, val details: List<String> = emptyList())

/** The way in which an entry or organisation differs. */
@Serializable
enum class DifferenceKind { ADDED, CHANGED, REMOVED }

/** Compares catalogues by entry and organisation; revisions are not compared. */
object CatalogueDiff {
    private const val ENTRIES = "entries/"
    private const val ORGANISATIONS = "organisations/"

    /** Returns the differences that lead from [before] to [after], sorted by name. */
    fun between(before: Catalogue, after: Catalogue): List<CatalogueDifference> =
        differences(rendered(before), rendered(after))

    internal fun name(entry: EntryName) = "$ENTRIES$entry"

    internal fun name(organisation: OrganisationName) = "$ORGANISATIONS$organisation"

    private fun rendered(catalogue: Catalogue): Map<String, JsonObject> =
        catalogue.organisations.values.associate { name(it.name) to CatalogueFormat.json(it) } +
            catalogue.entries.values.associate { name(it.name) to CatalogueFormat.json(it) }

    private fun differences(before: Map<String, JsonObject>, after: Map<String, JsonObject>) =
        (before.keys + after.keys).sorted().mapNotNull { name ->
            val (old, new) = before[name] to after[name]
            when {
                old == new -> null
                old == null -> CatalogueDifference(name, DifferenceKind.ADDED)
                new == null -> CatalogueDifference(name, DifferenceKind.REMOVED)
                else -> CatalogueDifference(name, DifferenceKind.CHANGED, details(flat(old), flat(new)))
            }
        }

    private fun details(old: Map<String, String>, new: Map<String, String>): List<String> =
        (old.keys + new.keys).filter { old[it] != new[it] }
            .map { "$it: ${old[it] ?: "(none)"} -> ${new[it] ?: "(none)"}" }

    private fun flat(element: JsonElement, path: String = ""): Map<String, String> = when (element) {
        is JsonObject -> element.entries.fold(emptyMap()) { all, (key, value) ->
            all + flat(value, if (path.isEmpty()) key else "$path.$key")
        }
        is JsonArray -> element.foldIndexed(emptyMap()) { index, all, value -> all + flat(value, "$path[$index]") }
        else -> mapOf(path to element.toString())
    }
}
