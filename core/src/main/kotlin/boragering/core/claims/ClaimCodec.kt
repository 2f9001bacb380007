package boragering.core.claims

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The claims of a shard at one revision of its document, by identity. */
internal data class StoredClaims(val claims: PersistentMap<String, Claim>, val revision: StoreRevision)

/** Encodes a shard's claims as JSON and decodes them. */
internal object ClaimCodec {
    private val JSON = Json { ignoreUnknownKeys = true }

    /** Encodes [claims] as a document. */
    fun encode(claims: PersistentMap<String, Claim>): String =
        JSON.encodeToString(ClaimDocument.serializer(), ClaimDocument(claims.values.toList()))

    /** Decodes [stored], where `null` stands for an absent document; returns `null` if the document is malformed. */
    fun decode(stored: StoredValue?): StoredClaims? = try {
        when (stored) {
            null -> StoredClaims(persistentMapOf(), StoreRevision.NONE)
            else -> JSON.decodeFromString(ClaimDocument.serializer(), stored.value).let { document ->
                StoredClaims(document.claims.associateBy(Claim::identity).toPersistentMap(), stored.revision)
            }
        }
    } catch (_: SerializationException) {
        // The shard reports the document as malformed; the text of the exception would reveal its content.
        null
    }
}
