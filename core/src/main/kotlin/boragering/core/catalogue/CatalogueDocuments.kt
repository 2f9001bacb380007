package boragering.core.catalogue

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import boragering.core.EntryName
import boragering.core.OrganisationName
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * The stored head: the changes that lead from the snapshot at revision [snapshot] to [revision]. The snapshot at
 * revision 0 is the empty catalogue and is not stored.
 */
@Serializable
internal data class HeadDocument(val revision: Long, val snapshot: Long, val changes: List<ChangeDocument>)

/** One accepted change; the value `null` stands for an entry or organisation that was removed. */
@Serializable
internal data class ChangeDocument(
    @SerialName("note") val record: HistoryRecord,
    val organisations: Map<String, JsonObject?>,
    val entries: Map<String, JsonObject?>,
)

/** A history record of one change; [fingerprint] detects reuse of its token for another document. */
@Serializable
internal data class HistoryRecord(val accepted: CatalogueRevision, val fingerprint: String)

/** The stored snapshot: the whole catalogue at one revision and the history up to it. */
@Serializable
internal data class SnapshotDocument(val catalogue: JsonObject, val history: List<HistoryRecord>)

/** The catalogue at one revision with the history up to it, oldest first. */
internal data class CatalogueState(val catalogue: Catalogue, val history: PersistentList<HistoryRecord>) {
    val revision: Long get() = catalogue.revision

    /** Applies the changes of [head]; the left side is an error. `null` if [head] does not continue this state. */
    fun after(head: HeadDocument): Either<String, CatalogueState>? =
        if (revision < head.snapshot || revision > head.revision) {
            null
        } else {
            head.changes.filter { it.record.accepted.revision > revision }
                .fold(right() as Either<String, CatalogueState>) { state, change -> state.flatMap { it.after(change) } }
                .flatMap { if (it.revision == head.revision) it.right() else "the head lacks some changes".left() }
        }

    /** Applies one change; the left side is an error. */
    fun after(change: ChangeDocument): Either<String, CatalogueState> {
        val accepted = change.record.accepted
        // Parses only the changed parts, because every daemon does this for every change.
        val json = buildJsonObject {
            put("revision", accepted.revision)
            put("organisations", JsonArray(change.organisations.values.filterNotNull()))
            put("entries", JsonArray(change.entries.values.filterNotNull()))
        }
        return when {
            accepted.revision != revision + 1 -> "revision ${accepted.revision} follows $revision".left()
            else -> catalogueOf(json).map { CatalogueState(merged(it, change), appended(change.record)) }
        }
    }

    /** Returns the snapshot document to store. */
    fun snapshot() = SnapshotDocument(CatalogueFormat.json(catalogue), history)

    private fun merged(changed: Catalogue, change: ChangeDocument) = Catalogue(
        revision = changed.revision,
        organisations = change.organisations.keys.map(::OrganisationName)
            .fold(catalogue.organisations) { all, name -> all.remove(name) }.putAll(changed.organisations),
        entries = change.entries.keys.map(::EntryName)
            .fold(catalogue.entries) { all, name -> all.remove(name) }.putAll(changed.entries),
    )

    private fun appended(record: HistoryRecord): PersistentList<HistoryRecord> =
        (if (history.size < HISTORY_LIMIT) history else history.removeAt(0)).add(record)

    companion object {
        /** Number of changes in the history; a token is remembered as long as its change is in the history. */
        const val HISTORY_LIMIT = 200

        /** The state before the first change. */
        val EMPTY = CatalogueState(Catalogue(0, persistentMapOf(), persistentMapOf()), persistentListOf())

        /** Reads the state from a snapshot; the left side is an error. */
        fun of(document: SnapshotDocument): Either<String, CatalogueState> =
            catalogueOf(document.catalogue).map { CatalogueState(it, document.history.toPersistentList()) }

        private fun catalogueOf(json: JsonObject): Either<String, Catalogue> =
            CatalogueReader.read(json.toString(), rejectUnknown = false)
                .map { it.catalogue }
                .mapLeft { findings -> findings.joinToString { "${it.path} ${it.message}" } }
    }
}

/** Store keys of the catalogue documents, and functions that encode and decode the documents. */
object CatalogueKeys {
    /** Key of the head in the store and of the head item, whose version is the catalogue's revision. */
    const val HEAD = "boragering/catalogue/head"

    /** Item key of the newest snapshot; the item's version is the snapshot's revision. */
    const val SNAPSHOTS = "boragering/catalogue/snapshots"

    internal const val SNAPSHOT_PREFIX = "$SNAPSHOTS/"

    private val format = Json { ignoreUnknownKeys = true }

    internal fun snapshotKey(revision: Long) = "$SNAPSHOT_PREFIX$revision"

    internal fun encode(head: HeadDocument) = format.encodeToString(HeadDocument.serializer(), head)

    internal fun encode(snapshot: SnapshotDocument) = format.encodeToString(SnapshotDocument.serializer(), snapshot)

    internal fun decodeHead(text: String): Either<String, HeadDocument> = decode(HeadDocument.serializer(), text)

    internal fun decodeSnapshot(text: String): Either<String, CatalogueState> =
        decode(SnapshotDocument.serializer(), text).flatMap { CatalogueState.of(it) }

    private fun <T> decode(serializer: KSerializer<T>, text: String): Either<String, T> =
        Either.catchOrThrow<SerializationException, T> { format.decodeFromString(serializer, text) }
            .mapLeft { "cannot decode the stored document: ${it.message}" }
}
