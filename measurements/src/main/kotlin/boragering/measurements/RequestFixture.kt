package boragering.measurements

import arrow.core.Either
import arrow.core.right
import boragering.core.AnswerPart
import boragering.core.Bytes
import boragering.core.CallerRequest
import boragering.core.Header
import boragering.core.OrganisationName
import boragering.core.RequestId
import boragering.core.RequestMetrics
import boragering.core.RequestResult
import boragering.core.Store
import boragering.core.TargetCall
import boragering.core.TargetClient
import boragering.core.TargetDirectory
import boragering.core.TargetFailure
import boragering.core.catalogue.CatalogueSource
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry
import boragering.core.requests.AdmissionController
import boragering.core.requests.ClaimLedger
import boragering.core.requests.RequestExecutor
import boragering.core.requests.RequestPorts
import boragering.core.timeline.Timeline
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.yield
import kotlin.random.Random

/** The request logic of one daemon over targets that answer with [events] events as soon as they are called. */
class RequestFixture(
    private val entry: Entry,
    scope: CoroutineScope,
    store: Store,
    directory: TargetDirectory,
    private val events: Int = 1,
    metrics: RequestMetrics = RequestMetrics.None,
) {
    private val catalogue = CatalogueFixtures.catalogue(listOf(entry))
    private val ports = RequestPorts(
        store = store,
        calls = ImmediateTargets(),
        directory = directory,
        catalogue = CatalogueSource { catalogue },
        peers = Fixtures.peers(count = 1),
        clock = Fixtures.clock,
        random = Random(1),
        timeline = Timeline { },
        metrics = metrics,
    )
    private val executor =
        RequestExecutor(ports, ClaimLedger(ports, scope, shardCount = 1), AdmissionController(ports))
    private var requests = 0

    /** Sends one request to its end. */
    suspend fun send(): RequestResult {
        val number = ++requests
        return executor.serve(request(number)) { }
    }

    private fun request(number: Int) = CallerRequest(
        id = RequestId("5f0c1d2e-0000-4000-8000-$number"),
        organisation = OrganisationName("sapporo-roofing"),
        entry = entry.name,
        method = "POST",
        path = if (entry is ModelEntry) "/v1/chat/completions" else "/orders",
        headers = persistentListOf(Header("Content-Type", "application/json")),
        body = Bytes.of("{}"),
        idempotencyKey = if (entry is ModelEntry) null else "5f0c1d2e-0000-4000-8000-$number",
        outputTokens = null,
    )

    private inner class ImmediateTargets : TargetClient {
        override suspend fun send(
            call: TargetCall,
            receive: suspend (AnswerPart) -> Unit,
        ): Either<TargetFailure, Unit> {
            // Lets requests that arrive together wait for one another.
            yield()
            if (entry is ModelEntry) stream(call, receive) else booking(receive)
            return Unit.right()
        }
    }

    private suspend fun booking(receive: suspend (AnswerPart) -> Unit) {
        receive(AnswerPart.Start(CREATED, persistentListOf(Header("Content-Type", "application/json"))))
        receive(AnswerPart.Body(Bytes.of("{\"booked\":\"5f0c1d2e\",\"pieces\":12}")))
    }

    private suspend fun stream(call: TargetCall, receive: suspend (AnswerPart) -> Unit) {
        receive(AnswerPart.Start(OK, persistentListOf(Header("Content-Type", "text/event-stream"))))
        val identity = call.request.value
        repeat(events) { index ->
            val choice = if (index < events - 1) "\"delta\":{\"content\":\" hail\"}" else "\"finish_reason\":\"stop\""
            receive(AnswerPart.Event(identity, "{\"id\":\"$identity\",\"choices\":[{$choice}]}"))
        }
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
    }
}
