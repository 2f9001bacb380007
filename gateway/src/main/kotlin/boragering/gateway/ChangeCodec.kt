package boragering.gateway

import arrow.core.Either
import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * Encodes document changes that one gateway sends to many others, as compressed CBOR. Compression pays off because
 * documents that change together resemble each other.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object ChangeCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val serializer = ListSerializer(EncodedChange.serializer())

    /** Encodes [changes]. */
    fun encode(changes: List<DocumentChange>): ByteArray {
        val cborBytes = cbor.encodeToByteArray(serializer, changes.map(::toEncoded))
        val deflater = Deflater(Deflater.BEST_SPEED)
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes, deflater).use { it.write(cborBytes) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** Decodes [bytes], or returns the reason why this failed. */
    fun decode(bytes: ByteArray): Either<String, List<DocumentChange>> = Either.catch {
        val cborBytes = InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(MAX_DECODED_BYTES + 1) }
        require(cborBytes.size <= MAX_DECODED_BYTES) { "more than $MAX_DECODED_BYTES bytes" }
        cbor.decodeFromByteArray(serializer, cborBytes).map(::toChange)
    }.mapLeft { "the changes cannot be read: ${it.message}" }

    private fun toEncoded(change: DocumentChange): EncodedChange = when (change) {
        is DocumentChange.Written -> encoded(change, change.document.value)
        is DocumentChange.Removed -> encoded(change, content = null)
    }

    private fun encoded(change: DocumentChange, content: String?) =
        EncodedChange(change.key, change.revision.value, content, change.revision.era)

    private fun toChange(encoded: EncodedChange): DocumentChange {
        val revision = StoreRevision(encoded.revision, encoded.era)
        val content = encoded.content ?: return DocumentChange.Removed(encoded.key, revision)
        return DocumentChange.Written(StoredValue(encoded.key, content, revision))
    }

    /** Limit for decompressed bytes. Changes are far smaller than the set of all documents. */
    private const val MAX_DECODED_BYTES = 16 shl 20
}

/** One encoded change; [content] is `null` if the document was removed. */
@Serializable
private data class EncodedChange(val key: String, val revision: Long, val content: String?, val era: Long = 0)
