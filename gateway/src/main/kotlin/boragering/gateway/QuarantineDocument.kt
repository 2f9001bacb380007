package boragering.gateway

import arrow.core.Either
import boragering.core.StoredValue
import boragering.fleet.SharedPart
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The documents of the store that name prompt parts in quarantine. They have leases, with which they end. */
internal object QuarantineDocument {
    private const val PREFIX = "boragering/quarantine/"

    @Serializable
    private data class Content(val service: String, val part: String)

    /** The key of the document about [part]. */
    fun key(part: SharedPart): String = "$PREFIX${part.service}/${part.part}"

    /** The content of the document about [part]. */
    fun encode(part: SharedPart): String = Json.encodeToString(Content(part.service.value, part.part.id))

    /** Whether [key] is that of a document about a part. */
    fun isKey(key: String): Boolean = key.startsWith(PREFIX)

    /** The part that [document] is about, or why it cannot be read. */
    fun decode(document: StoredValue): Either<String, SharedPart> =
        Either.catch { Json.decodeFromString<Content>(document.value) }
            .map { PromptMessages.part(it.service, it.part) }
            .mapLeft { it.message.orEmpty() }
}
