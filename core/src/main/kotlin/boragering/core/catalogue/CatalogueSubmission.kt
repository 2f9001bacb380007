package boragering.core.catalogue

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.Finding
import kotlinx.serialization.json.JsonObject

/** A valid document that an operator submitted; applies the rules for accepting it. */
internal class CatalogueSubmission private constructor(
    private val request: ApplyRequest,
    private val document: Catalogue,
) {
    private val documentFingerprint = fingerprint(document)

    /** Returns the answer if nothing is to be written on top of [loaded], or `null` if the change may be written. */
    suspend fun decide(loaded: LoadedCatalogue, loader: CatalogueLoader): ApplyAnswer? {
        val earlier = loaded.state.history.lastOrNull { it.accepted.token == request.token }
        return when {
            earlier != null -> answer(earlier)
            request.baseRevision != loaded.state.revision -> conflict(loaded, loader)
            CatalogueDiff.between(loaded.state.catalogue, document).isEmpty() ->
                ApplyAnswer(ApplyResult.ACCEPTED, loaded.state.revision, detail = "the document changes nothing")
            else -> null
        }
    }

    /** Returns the answer for a token that was accepted as [record]. A token is valid for one document only. */
    fun answer(record: HistoryRecord): ApplyAnswer =
        if (record.fingerprint == documentFingerprint) {
            ApplyAnswer(ApplyResult.ACCEPTED, record.accepted.revision, record.accepted.changed)
        } else {
            val message = "was accepted as revision ${record.accepted.revision} with another document"
            ApplyAnswer(ApplyResult.INVALID, findings = listOf(Finding("token", message, "a new token")))
        }

    /** Returns the change that leads from [current] to the document. */
    fun change(current: Catalogue, atMilliseconds: Long): ChangeDocument {
        val names = CatalogueDiff.between(current, document).map { it.name }
        val accepted = CatalogueRevision(
            revision = current.revision + 1,
            token = request.token,
            author = request.author,
            atMilliseconds = atMilliseconds,
            changed = truncated(names),
        )
        return ChangeDocument(
            record = HistoryRecord(accepted, documentFingerprint),
            organisations = changed(current.organisations, document.organisations, CatalogueFormat::json)
                .mapKeys { it.key.value },
            entries = changed(current.entries, document.entries, CatalogueFormat::json).mapKeys { it.key.value },
        )
    }

    private fun truncated(names: List<String>): List<String> =
        if (names.size <= NAME_LIMIT) names else names.take(NAME_LIMIT) + "and ${names.size - NAME_LIMIT} others"

    private fun <K, V> changed(old: Map<K, V>, new: Map<K, V>, json: (V) -> JsonObject): Map<K, JsonObject?> =
        (old.keys + new.keys).filter { old[it] != new[it] }.associateWith { key -> new[key]?.let(json) }

    private suspend fun conflict(loaded: LoadedCatalogue, loader: CatalogueLoader): ApplyAnswer {
        val current = loaded.state
        val base = request.baseRevision
        val since = current.history.filter { it.accepted.revision > base }
        val changed = since.flatMap { it.accepted.changed }.distinct().sorted()
        // If the catalogue at the base revision is unavailable, every difference counts as a change by the operator.
        val reference = loader.stateAt(loaded, base) ?: current
        val changedByDocument = CatalogueDiff.between(reference.catalogue, document).map { it.name }
        val complete = since.firstOrNull()?.accepted?.revision == base + 1
        val detail = when {
            base > current.revision -> "the base revision $base does not exist; the current one is ${current.revision}"
            complete -> "the base revision is $base; the current one is ${current.revision}"
            else -> "the base revision is $base; the history of ${since.size} changes does not reach back to it"
        }
        return ApplyAnswer(
            ApplyResult.CONFLICT,
            current.revision,
            changed,
            detail = detail,
            conflicting = changedByDocument.filter { it in changed },
        )
    }

    companion object {
        /** Maximum number of names in a history record; this keeps the history of a snapshot small. */
        const val NAME_LIMIT = 20

        // The store accepts values of up to 1 MB. A snapshot also contains the history, and a head contains up to one
        // whole catalogue.
        private const val MAXIMUM_BYTES = 512 * 1024
        private const val MAXIMUM_FIELD_LENGTH = 128

        /** Validates [request] and returns the submission, or the findings. */
        fun of(request: ApplyRequest): Either<List<Finding>, CatalogueSubmission> =
            fieldFindings(request).let { findings ->
                if (findings.isEmpty()) CatalogueReader.read(request.catalogue) else findings.left()
            }.flatMap { read ->
                val size = CatalogueFormat.json(read.catalogue).toString().toByteArray().size
                val expected = "at most ${MAXIMUM_BYTES / KIB} KiB"
                if (size <= MAXIMUM_BYTES) {
                    CatalogueSubmission(request, read.catalogue).right()
                } else {
                    listOf(Finding("", "the catalogue has ${size / KIB} KiB", expected)).left()
                }
            }

        private const val KIB = 1024

        private fun fieldFindings(request: ApplyRequest): List<Finding> =
            listOf("token" to request.token, "author" to request.author)
                .filter { (_, value) -> value.isBlank() || value.length > MAXIMUM_FIELD_LENGTH }
                .map { (path, _) -> Finding(path, "is empty or too long", "1 to $MAXIMUM_FIELD_LENGTH characters") }
    }
}
