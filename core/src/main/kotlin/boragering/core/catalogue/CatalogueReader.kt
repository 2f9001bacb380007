package boragering.core.catalogue

import arrow.core.Either
import boragering.core.Finding
import boragering.core.OrganisationName
import kotlinx.collections.immutable.toPersistentMap

/** A validated document from an operator; [baseRevision] is the revision it is based on, if the document has one. */
data class CatalogueDocument(val baseRevision: Long?, val catalogue: Catalogue)

/** Parses and validates the operators' JSON document. All findings are reported together. */
object CatalogueReader {
    private const val MAXIMUM_WEIGHT = 1000
    private const val TOKEN_HASH_DESCRIPTION = "sha256: and 64 hexadecimal digits in lower case"
    private val TOKEN_HASH = Regex("sha256:[0-9a-f]{64}")
    private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,62}")

    internal val nameReader = ValueReaders.text(
        NAME,
        "up to 63 lower-case letters, digits, '.', '_' and '-', starting with a letter or digit",
    )

    /**
     * Reads [text]. The top-level key `revision`, which `boragerctl catalogue show` writes, becomes the base revision
     * and the revision of the catalogue, which is 0 if the key is absent.
     */
    fun read(text: String): Either<List<Finding>, CatalogueDocument> = read(text, rejectUnknown = true)

    /** Reads [text]. [rejectUnknown] is false for stored documents, where a later version may have added keys. */
    internal fun read(text: String, rejectUnknown: Boolean): Either<List<Finding>, CatalogueDocument> =
        ObjectReader.parse(text) { root -> document(root, rejectUnknown) }

    private fun document(root: ObjectReader, rejectUnknown: Boolean): CatalogueDocument {
        val revision = root.optional<Long?>("revision", null, ValueReaders.number(0L..Long.MAX_VALUE))
        val organisations = root.children("organisations").map { it to organisation(it) }
        val entryReaders = root.children("entries").map { it to EntryReader(it) }
        val entries = entryReaders.map { (objectReader, reader) -> objectReader to reader.entry() }
        listOf("organisations", "entries").filterNot { root.has(it) }
            .forEach { root.addFinding(it, "is missing", "a list") }
        if (rejectUnknown) {
            (listOf(root) + organisations.map { it.first }).forEach { it.rejectUnknown() }
            entryReaders.forEach { it.second.rejectUnknown() }
        }
        CatalogueValidation.checkOrganisations(organisations)
        CatalogueValidation.checkEntries(entries)
        val catalogue = Catalogue(
            revision ?: 0,
            organisations.mapNotNull { it.second }.sortedBy { it.name.value }.associateBy { it.name }.toPersistentMap(),
            entries.mapNotNull { it.second }.sortedBy { it.name.value }.associateBy { it.name }.toPersistentMap(),
        )
        return CatalogueDocument(revision, catalogue)
    }

    private fun organisation(reader: ObjectReader): Organisation? {
        val name = reader.required("name", nameReader)
        val tokenHash = reader.required("tokenHash", ValueReaders.text(TOKEN_HASH, TOKEN_HASH_DESCRIPTION))
        val weight = reader.optional("weight", 1, ValueReaders.integer(1..MAXIMUM_WEIGHT))
        return if (name == null || tokenHash == null) null else Organisation(OrganisationName(name), tokenHash, weight)
    }
}
