package boragering.core.catalogue

import boragering.core.Finding
import kotlinx.serialization.Serializable

/** Body of `POST /operator/catalogue`. [catalogue] is the text of the operators' document. */
@Serializable
data class ApplyRequest(val token: String, val author: String, val baseRevision: Long, val catalogue: String)

/** Answer of `GET /operator/catalogue`. */
@Serializable
data class CatalogueAnswer(val revision: Long, val catalogue: String)

/** Answer of `GET /operator/catalogue/history`, newest first. */
@Serializable
data class HistoryAnswer(val revisions: List<CatalogueRevision>)

/** One accepted change of the catalogue. */
@Serializable
data class CatalogueRevision(
    val revision: Long,
    val token: String,
    val author: String,
    val atMilliseconds: Long,
    val changed: List<String>,
)

/**
 * Answer of `POST /operator/catalogue`, with HTTP status 200 for accepted, 409 for a conflict, 422 for findings and 503
 * for unknown or unavailable. After a conflict, [revision] is the current revision, [changed] names the entries and
 * organisations that have changed since the base revision, and [conflicting] names those that the refused document
 * would change as well.
 */
@Serializable
data class ApplyAnswer(
    val result: ApplyResult,
    val revision: Long? = null,
    val changed: List<String> = emptyList(),
    val findings: List<Finding> = emptyList(),
    val detail: String? = null,
    val conflicting: List<String> = emptyList(),
)

/** The result of a change to the catalogue. */
@Serializable
enum class ApplyResult {
    /** The change is written and will take effect on every daemon. */
    ACCEPTED,

    /** Another change was accepted first; nothing was written. */
    CONFLICT,

    /** The document is invalid; nothing was written. */
    INVALID,

    /** The store cannot be reached; nothing was written. */
    UNAVAILABLE,

    /** It is unknown whether the change was written; submitting it again with the same token gives the result. */
    UNKNOWN,
}
