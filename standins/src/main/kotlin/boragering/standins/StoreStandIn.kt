package boragering.standins

import io.ktor.http.HttpStatusCode

/** Stand-in of the key-value service: a subset of etcd's v3 JSON gateway. */
internal class StoreStandIn(private val state: KeyValueState, private val control: StoreControl = StoreControl()) {
    /** Serves one request. */
    suspend fun serve(exchange: Exchange) {
        val path = exchange.request.path
        when {
            path.startsWith("/v3/lease/") -> {
                control.beforeCall(exchange, path.removePrefix("/v3/"))
                leaseCall(exchange)
            }
            path.startsWith("/v3/") -> {
                control.beforeCall(exchange, path.removePrefix("/v3/"))
                call(exchange)
            }
            else -> controlCall(exchange)
        }
    }

    private suspend fun controlCall(exchange: Exchange) = when (exchange.request.path) {
        "/control/faults" -> {
            if (exchange.request.method == "PUT") control.set(exchange.receive())
            exchange.respondJson(control.faults.value)
        }
        "/control/counters" -> exchange.respondJson(control.counters())
        "/control/record" -> exchange.respondJson(state.record())
        else -> exchange.respond(HttpStatusCode.NotFound)
    }

    private suspend fun call(exchange: Exchange) {
        when (exchange.request.path) {
            "/v3/kv/range" -> {
                val request = TransactionRequest(success = listOf(RequestOperation(range = exchange.receive())))
                exchange.respondJson(state.transact(request).responses.single().range)
            }
            "/v3/kv/txn" -> exchange.respondJson(write(exchange, exchange.receive()))
            "/v3/kv/put" -> {
                val request = TransactionRequest(success = listOf(RequestOperation(put = exchange.receive())))
                exchange.respondJson(write(exchange, request).responses.single().put)
            }
            "/v3/kv/deleterange" -> {
                val request = TransactionRequest(success = listOf(RequestOperation(delete = exchange.receive())))
                exchange.respondJson(write(exchange, request).responses.single().delete)
            }
            "/v3/watch" -> StoreWatch(state, control, exchange).serve()
            else -> exchange.respond(HttpStatusCode.NotFound)
        }
    }

    private fun write(exchange: Exchange, request: TransactionRequest): TransactionResponse {
        val tooLarge = (request.success + request.failure).any { (it.put?.value?.length ?: 0) > VALUE_LIMIT }
        require(!tooLarge) { "etcdserver: request is too large" }
        return state.transact(request).also { control.afterWrite(exchange, request) }
    }

    private suspend fun leaseCall(exchange: Exchange) {
        val request = exchange.receive<LeaseRequest>()
        when (exchange.request.path) {
            "/v3/lease/grant" -> exchange.respondJson(state.grant(request.id, request.timeToLive))
            "/v3/lease/keepalive" -> exchange.respondJson(StreamResult(state.keepAlive(request.id)))
            "/v3/lease/revoke" -> {
                val response = state.revoke(request.id)
                if (response != null) exchange.respondJson(response) else leaseNotFound(exchange)
            }
            else -> exchange.respond(HttpStatusCode.NotFound)
        }
    }

    private suspend fun leaseNotFound(exchange: Exchange) = exchange.respondJson(
        ErrorBody("etcdserver: requested lease not found", GRPC_NOT_FOUND),
        HttpStatusCode.NotFound,
    )

    private companion object {
        /** Limit of a value in base64 characters, for 1 MiB of content. */
        const val VALUE_LIMIT = 1_398_104

        /** Code of gRPC for a missing entity. */
        const val GRPC_NOT_FOUND = 5
    }
}
