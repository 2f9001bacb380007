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

/** The text form of a shard's claims. */
internal object ClaimCodec {
    private val JSON = Json { ignoreUnknownKeys = true }

    /** The document that holds [claims]. */
    fun encode(claims: PersistentMap<String, Claim>): String =
        JSON.encodeToString(ClaimDocument.serializer(), ClaimDocument(claims.values.toList()))

    /** The claims in [stored], where `null` is an absent document; `null` when the document is malformed. */
    fun decode(stored: StoredValue?): StoredClaims? = try {
        when (stored) {
            null -> StoredClaims(persistentMapOf(), StoreRevision.NONE)
            else -> JSON.decodeFromString(ClaimDocument.serializer(), stored.value).let { document ->
                StoredClaims(document.claims.associateBy(Claim::identity).toPersistentMap(), stored.revision)
            }
        }
    } catch (_: SerializationException) {
        // The shard reports the document as malformed; the exception's text would repeat its content.
        null
    }
}
