package boragering.adapters

import arrow.core.Either
import boragering.core.LeaseId
import boragering.core.Store
import boragering.core.StoreFailure
import boragering.core.StoreRevision
import boragering.core.StoredValue
import boragering.core.SwapOutcome
import io.ktor.client.HttpClient
import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A [Store] in a key-value service, which is accessed over the JSON gateway of the etcd v3 API.
 *
 * @param baseUrl URL of the gateway, for example `http://10.0.0.5:2379`.
 * @param timeout limit for each call except [awaitChange], which has its own.
 */
class EtcdStore(client: HttpClient, baseUrl: String, timeout: Duration = DEFAULT_TIMEOUT) : Store {
    private val gateway = EtcdGatewayClient(client, baseUrl, timeout)

    override suspend fun get(key: String): Either<StoreFailure, StoredValue?> =
        gateway.range(RangeRequest(encodeBase64(key))).map { it.firstOrNull() }

    override suspend fun getIfNewer(key: String, revision: StoreRevision): Either<StoreFailure, StoredValue?> =
        gateway.range(RangeRequest(encodeBase64(key), minimumModifiedRevision = (revision.value + 1).toString()))
            .map { it.firstOrNull() }

    override suspend fun range(prefix: String): Either<StoreFailure, PersistentList<StoredValue>> =
        gateway.range(RangeRequest(encodeBase64(prefix), rangeEnd(prefix)))

    override suspend fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<StoreFailure, SwapOutcome> {
        val put = PutRequest(encodeBase64(key), encodeBase64(value), lease?.value?.toString())
        return compareAndApply(key, expected, RequestOperation(put = put))
    }

    override suspend fun compareAndDelete(key: String, expected: StoreRevision): Either<StoreFailure, SwapOutcome> =
        compareAndApply(key, expected, RequestOperation(delete = RangeRequest(encodeBase64(key))))

    override suspend fun grantLease(timeToLive: Duration): Either<StoreFailure, LeaseId> =
        gateway.post<LeaseRequest, LeaseResponse>("/v3/lease/grant", LeaseRequest(timeToLive.inWholeSeconds.toString()))
            .map { LeaseId(it.leaseId) }

    override suspend fun renewLease(lease: LeaseId): Either<StoreFailure, Duration> =
        gateway
            .post<LeaseRequest, LeaseStreamResponse>("/v3/lease/keepalive", LeaseRequest(id = lease.value.toString()))
            .map { (it.result?.ttlSeconds ?: 0).seconds }

    override suspend fun revokeLease(lease: LeaseId): Either<StoreFailure, Unit> =
        gateway.post<LeaseRequest, LeaseResponse>("/v3/lease/revoke", LeaseRequest(id = lease.value.toString())).map { }

    override suspend fun awaitChange(
        prefix: String,
        after: StoreRevision,
        timeout: Duration,
    ): Either<StoreFailure, PersistentList<StoredValue>> {
        val create = WatchCreateRequest(encodeBase64(prefix), rangeEnd(prefix), (after.value + 1).toString())
        return gateway.watch(WatchRequest(create), timeout)
    }

    private suspend fun compareAndApply(
        key: String,
        expected: StoreRevision,
        operation: RequestOperation,
    ): Either<StoreFailure, SwapOutcome> {
        val encodedKey = encodeBase64(key)
        val request =
            TransactionRequest(
                compare = listOf(Compare(encodedKey, expected.value.toString())),
                success = listOf(operation),
                failure = listOf(RequestOperation(range = RangeRequest(encodedKey))),
            )
        return gateway.post<TransactionRequest, TransactionResponse>("/v3/kv/txn", request).map { response ->
            if (response.succeeded) {
                SwapOutcome.Swapped(response.revision)
            } else {
                SwapOutcome.Conflict(response.currentValue)
            }
        }
    }

    private companion object {
        val DEFAULT_TIMEOUT = 2.seconds
    }
}
