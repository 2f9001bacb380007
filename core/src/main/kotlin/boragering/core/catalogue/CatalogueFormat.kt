package boragering.core.catalogue

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Formats catalogues in canonical form: names sorted, keys in a fixed order, all defaults written out. */
object CatalogueFormat {
    @OptIn(ExperimentalSerializationApi::class)
    private val format = Json {
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /** Formats [catalogue] with its revision as a document that [CatalogueReader] can read. */
    fun of(catalogue: Catalogue): String = format.encodeToString(JsonElement.serializer(), json(catalogue)) + "\n"

    /** Returns the answer of `GET /operator/catalogue`: before the first change, the empty catalogue at revision 0. */
    fun answer(catalogue: Catalogue?): CatalogueAnswer =
        (catalogue ?: CatalogueState.EMPTY.catalogue).let { CatalogueAnswer(it.revision, of(it)) }

    internal fun json(catalogue: Catalogue): JsonObject = buildJsonObject {
        put("revision", catalogue.revision)
        putJsonArray("organisations") {
            catalogue.organisations.values.sortedBy { it.name.value }.forEach { add(json(it)) }
        }
        putJsonArray("entries") { catalogue.entries.values.sortedBy { it.name.value }.forEach { add(json(it)) } }
    }

    internal fun json(organisation: Organisation): JsonObject = buildJsonObject {
        put("name", organisation.name.value)
        put("tokenHash", organisation.tokenHash)
        put("weight", organisation.weight)
    }

    internal fun json(entry: Entry): JsonObject = buildJsonObject {
        put("name", entry.name.value)
        put("owner", entry.owner)
        put("kind", if (entry is ModelEntry) "model" else "service")
        put("pool", entry.pool)
        if (entry is ModelEntry) {
            put("model", entry.model)
            put("modelVersion", entry.modelVersion)
            put("enforcesFencing", entry.enforcesFencing)
        }
        putJsonObject("class") {
            put("urgency", entry.requestClass.urgency.name.lowercase())
            put("length", entry.requestClass.length.name.lowercase())
            put("repeatable", entry.requestClass.repeatable)
        }
        putJsonObject("limits") { limits(entry) }
        put("claimRetention", UnitFormat.text(entry.claimRetention))
        if (entry is ServiceEntry) putJsonArray("routes") { entry.routes.forEach { add(json(it)) } }
    }

    private fun JsonObjectBuilder.limits(entry: Entry) {
        if (entry is ModelEntry) {
            put("groupSize", entry.groupSize)
            put("replicas", entry.replicas)
        }
        put("concurrency", entry.limits.concurrency)
        put("queueLength", entry.limits.queueLength)
        put("queueTime", UnitFormat.text(entry.limits.queueTime))
        put("deadline", UnitFormat.text(entry.limits.deadline))
        entry.limits.outputTokens?.let { put("outputTokens", it) }
        put("requestsPerSecond", entry.limits.requestsPerSecond)
    }

    private fun json(route: Route): JsonObject = buildJsonObject {
        put("method", route.method)
        put("path", route.path)
        put("repeatable", route.repeatable)
    }
}
