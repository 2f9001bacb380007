package boragering.scenarios

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** The operators' catalogue as the scenarios write it. */
@Serializable
data class CatalogueDocument(val organisations: List<OrganisationDocument>, val entries: List<EntryDocument>)

/** An organisation of the catalogue. */
@Serializable
data class OrganisationDocument(val name: String, val tokenHash: String, val weight: Int = 1)

/** An entry of the catalogue; the fields of the other [kind] are `null`. */
@Serializable
data class EntryDocument(
    val name: String,
    val owner: String,
    val kind: String,
    val pool: String,
    @SerialName("class") val requestClass: ClassDocument,
    val limits: LimitsDocument,
    val model: String? = null,
    val modelVersion: String? = null,
    val enforcesFencing: Boolean? = null,
    val claimRetention: String? = null,
    val routes: List<RouteDocument>? = null,
)

/** The class of an entry's requests. */
@Serializable
data class ClassDocument(val urgency: String, val length: String, val repeatable: Boolean)

/** The limits of an entry; durations have units. */
@Serializable
data class LimitsDocument(
    val concurrency: Int,
    val queueLength: Int,
    val queueTime: String,
    val deadline: String,
    val requestsPerSecond: Int,
    val groupSize: Int? = null,
    val replicas: Int? = null,
    val outputTokens: Int? = null,
)

/** A declared route of a plain service. */
@Serializable
data class RouteDocument(val method: String, val path: String, val repeatable: Boolean)

/** A duration as settings and catalogues state it. */
internal fun Duration.withUnit(): String =
    if (inWholeMilliseconds % MILLISECONDS == 0L) "${inWholeSeconds}s" else "${inWholeMilliseconds}ms"

private const val MILLISECONDS = 1000L
