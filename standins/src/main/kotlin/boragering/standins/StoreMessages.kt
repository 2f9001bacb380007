package boragering.standins

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import kotlinx.serialization.json.JsonNames

/** A 64-bit number, which protocol buffers write as a JSON string. */
internal typealias Int64 =
    @Serializable(LongAsStringSerializer::class)
    Long

@Serializable
internal data class ResponseHeader(
    val revision: Int64,
    @SerialName("cluster_id") val clusterId: Int64 = 1,
    @SerialName("member_id") val memberId: Int64 = 1,
    @SerialName("raft_term") val raftTerm: Int64 = 1,
)

@Serializable
internal data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("create_revision") val createRevision: Int64 = 0,
    @SerialName("mod_revision") val modRevision: Int64 = 0,
    val version: Int64 = 0,
    val lease: Int64 = 0,
)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class RangeRequest(
    val key: String = "",
    @SerialName("range_end") @JsonNames("rangeEnd") val rangeEnd: String = "",
    @SerialName("min_mod_revision") @JsonNames("minModRevision") val minModRevision: Int64 = 0,
    val limit: Int64 = 0,
)

@Serializable
internal data class RangeResponse(
    val header: ResponseHeader,
    val kvs: List<KeyValue> = emptyList(),
    val more: Boolean = false,
    val count: Int64 = 0,
)

@Serializable
internal data class PutRequest(val key: String, val value: String = "", val lease: Int64 = 0)

@Serializable
internal data class PutResponse(val header: ResponseHeader)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class DeleteRequest(
    val key: String,
    @SerialName("range_end") @JsonNames("rangeEnd") val rangeEnd: String = "",
)

@Serializable
internal data class DeleteResponse(val header: ResponseHeader, val deleted: Int64 = 0)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class Comparison(
    val key: String,
    val target: String = "VERSION",
    val result: String = "EQUAL",
    val version: Int64 = 0,
    @SerialName("create_revision") @JsonNames("createRevision") val createRevision: Int64 = 0,
    @SerialName("mod_revision") @JsonNames("modRevision") val modRevision: Int64 = 0,
)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class RequestOperation(
    @SerialName("request_range") @JsonNames("requestRange") val range: RangeRequest? = null,
    @SerialName("request_put") @JsonNames("requestPut") val put: PutRequest? = null,
    @SerialName("request_delete_range") @JsonNames("requestDeleteRange") val delete: DeleteRequest? = null,
)

@Serializable
internal data class ResponseOperation(
    @SerialName("response_range") val range: RangeResponse? = null,
    @SerialName("response_put") val put: PutResponse? = null,
    @SerialName("response_delete_range") val delete: DeleteResponse? = null,
)

@Serializable
internal data class TransactionRequest(
    val compare: List<Comparison> = emptyList(),
    val success: List<RequestOperation> = emptyList(),
    val failure: List<RequestOperation> = emptyList(),
)

@Serializable
internal data class TransactionResponse(
    val header: ResponseHeader,
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

@Serializable
internal data class LeaseRequest(@SerialName("ID") val id: Int64 = 0, @SerialName("TTL") val timeToLive: Int64 = 0)

@Serializable
internal data class LeaseResponse(
    val header: ResponseHeader,
    @SerialName("ID") val id: Int64 = 0,
    @SerialName("TTL") val timeToLive: Int64 = 0,
)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class WatchRequest(
    @SerialName("create_request") @JsonNames("createRequest") val create: WatchCreation,
)

@Serializable
@OptIn(ExperimentalSerializationApi::class)
internal data class WatchCreation(
    val key: String,
    @SerialName("range_end") @JsonNames("rangeEnd") val rangeEnd: String = "",
    @SerialName("start_revision") @JsonNames("startRevision") val startRevision: Int64 = 0,
)

/** One object of a response stream. */
@Serializable
internal data class StreamResult<T>(val result: T)

@Serializable
internal data class WatchResponse(
    val header: ResponseHeader,
    val created: Boolean = false,
    val events: List<WatchEvent> = emptyList(),
)

/** A change; [type] is omitted for a put, as protocol buffers omit the zero value. */
@Serializable
internal data class WatchEvent(val type: String = "PUT", val kv: KeyValue)
