package boragering.adapters

import boragering.core.StoreRevision
import boragering.core.StoredValue
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Base64

/** Parses a 64-bit number, which the gateway writes as a JSON string. An empty string is 0. */
private fun String.parseInt64(): Long = if (isEmpty()) 0 else toLong()

internal fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.encodeToByteArray())

internal fun decodeBase64(text: String): String = Base64.getDecoder().decode(text).decodeToString()

/**
 * Returns the exclusive end, in Base64, of the range of all keys that start with [prefix]: the prefix with its last
 * byte increased by one.
 */
internal fun rangeEnd(prefix: String): String {
    val bytes = prefix.encodeToByteArray()
    bytes[bytes.lastIndex]++
    return Base64.getEncoder().encodeToString(bytes)
}

@Serializable
internal data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    @SerialName("min_mod_revision") val minimumModifiedRevision: String? = null,
)

@Serializable
internal data class EtcdHeader(val revision: String = "")

@Serializable
internal data class EtcdKeyValue(
    val key: String = "",
    val value: String = "",
    @SerialName("mod_revision") val modifiedRevision: String = "",
) {
    fun toStoredValue(): StoredValue =
        StoredValue(decodeBase64(key), decodeBase64(value), StoreRevision(modifiedRevision.parseInt64()))
}

@Serializable
internal data class RangeResponse(
    val header: EtcdHeader = EtcdHeader(),
    @SerialName("kvs") val values: List<EtcdKeyValue> = emptyList(),
)

@Serializable
internal data class TransactionRequest(
    val compare: List<Compare>,
    val success: List<RequestOperation>,
    val failure: List<RequestOperation>,
)

@Serializable
internal data class Compare(
    val key: String,
    @SerialName("mod_revision") val modifiedRevision: String,
    val target: String = "MOD",
    val result: String = "EQUAL",
)

@Serializable
internal data class RequestOperation(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_delete_range") val delete: RangeRequest? = null,
)

@Serializable
internal data class PutRequest(val key: String, val value: String, val lease: String? = null)

@Serializable
internal data class TransactionResponse(
    val header: EtcdHeader = EtcdHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
) {
    /** The store revision at which the transaction took effect. */
    val revision: StoreRevision get() = StoreRevision(header.revision.parseInt64())

    /** The current value of the key if the comparison failed and the key exists, otherwise `null`. */
    val currentValue: StoredValue?
        get() =
            responses
                .firstNotNullOfOrNull { it.range }
                ?.values
                ?.firstOrNull()
                ?.toStoredValue()
}

@Serializable
internal data class ResponseOperation(@SerialName("response_range") val range: RangeResponse? = null)

@Serializable
internal data class LeaseRequest(
    @SerialName("TTL") val timeToLive: String? = null,
    @SerialName("ID") val id: String? = null,
)

@Serializable
internal data class LeaseResponse(
    @SerialName("ID") val id: String = "",
    @SerialName("TTL") val timeToLive: String = "",
) {
    val leaseId: Long get() = id.parseInt64()
    val ttlSeconds: Long get() = timeToLive.parseInt64()
}

/** Response to a lease renewal. The gateway wraps each response of a streaming call in `result`. */
@Serializable
internal data class LeaseStreamResponse(val result: LeaseResponse? = null)

@Serializable
internal data class WatchRequest(@SerialName("create_request") val create: WatchCreateRequest)

@Serializable
internal data class WatchCreateRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision") val startRevision: String,
)

@Serializable
internal data class WatchStreamResponse(val result: WatchResponse? = null)

@Serializable
internal data class WatchResponse(val canceled: Boolean = false, val events: List<WatchEvent> = emptyList())

@Serializable
internal data class WatchEvent(val type: String = "PUT", @SerialName("kv") val value: EtcdKeyValue = EtcdKeyValue())
