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
 * Changes of documents as one gateway passes them on to many others. Documents that change together resemble each
 * other, so that they are compressed.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object ChangeCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val serializer = ListSerializer(EncodedChange.serializer())

    /** The bytes that carry [changes]. */
    fun pack(changes: List<DocumentChange>): ByteArray {
        val plain = cbor.encodeToByteArray(serializer, changes.map(::packed))
        val deflater = Deflater(Deflater.BEST_SPEED)
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes, deflater).use { it.write(plain) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** The changes in [bytes], or why they cannot be read. */
    fun unpack(bytes: ByteArray): Either<String, List<DocumentChange>> = Either.catch {
        val plain = InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(LARGEST + 1) }
        require(plain.size <= LARGEST) { "more than $LARGEST bytes" }
        cbor.decodeFromByteArray(serializer, plain).map(::change)
    }.mapLeft { "the changes cannot be read: ${it.message}" }

    private fun packed(change: DocumentChange): EncodedChange = when (change) {
        is DocumentChange.Written -> EncodedChange(change.key, change.revision.value, change.document.value)
        is DocumentChange.Removed -> EncodedChange(change.key, change.revision.value, null)
    }

    private fun change(packed: EncodedChange): DocumentChange {
        val revision = StoreRevision(packed.revision)
        val content = packed.content ?: return DocumentChange.Removed(packed.key, revision)
        return DocumentChange.Written(StoredValue(packed.key, content, revision))
    }

    /** Most bytes of unpacked changes; what is sent as changes is far less than all documents. */
    private const val LARGEST = 16 shl 20
}

/** One change; without [content] the document was removed. */
@Serializable
private data class EncodedChange(val key: String, val revision: Long, val content: String?)
