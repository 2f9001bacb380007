package boragering.daemon

import boragering.adapters.HttpClients
import boragering.core.AnswerPart
import boragering.core.CallerRequest
import boragering.core.Header
import boragering.core.OrganisationName
import boragering.core.RequestId
import boragering.core.RequestResult
import boragering.core.RequestService
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.Organisation
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.apache.commons.codec.digest.DigestUtils
import java.util.concurrent.CopyOnWriteArrayList

class CallerServerTest : DescribeSpec({
    val organisation = Organisation(OrganisationName("o"), "sha256:" + DigestUtils.sha256Hex("token"), 1)
    val catalogue = Catalogue(1, persistentMapOf(organisation.name to organisation), persistentMapOf())
    val receivedRequests = CopyOnWriteArrayList<CallerRequest>()
    val service =
        RequestService { request, receive ->
            receivedRequests += request
            receive(AnswerPart.Start(200, persistentListOf(Header("Content-Type", "application/json"))))
            RequestResult.Complete
        }
    val gate = RequestGate(maximumRequests = 1) { true }
    val callerServer =
        CallerServer(
            authentication = CallerAuthentication { catalogue },
            gate = gate,
            writer = AnswerWriter(service),
            requestIds = { RequestId("r1") },
            maximumBodyBytes = 100,
        )
    val server = embeddedServer(Netty, host = "127.0.0.1", port = 0) { callerServer.install(this) }.start()
    val client = HttpClients.create()
    afterSpec {
        client.close()
        server.stop(0, 0)
    }

    suspend fun send(path: String, body: String, token: String? = "token"): HttpResponse {
        val port = server.engine.resolvedConnectors().first().port
        return client.post("http://127.0.0.1:$port$path") {
            token?.let { header("Authorization", "Bearer $it") }
            header("Idempotency-Key", "k1")
            setBody(body)
        }
    }

    suspend fun HttpResponse.shouldBeRefused(status: Int) {
        this.status.value shouldBe status
        bodyAsText() shouldContain "\"outcome\":\"not-run\""
        receivedRequests.size shouldBe 0
    }

    beforeEach { receivedRequests.clear() }

    describe("a request that cannot be served") {
        it("is refused without the token of a known organisation") {
            send("/v1/chat/completions", "{\"model\":\"m\"}", token = null).shouldBeRefused(401)
            send("/v1/chat/completions", "{\"model\":\"m\"}", token = "other").shouldBeRefused(401)
        }

        it("is refused when its body is larger than the limit") {
            send("/services/orders/x", "x".repeat(101)).shouldBeRefused(413)
        }

        it("is refused when its body is not a valid completion request") {
            send("/v1/chat/completions", "{").shouldBeRefused(400)
            send("/v1/chat/completions", "{}").shouldBeRefused(400)
            send("/v1/chat/completions", "{\"model\":\"m\",\"max_tokens\":0}").shouldBeRefused(400)
        }

        it("is refused when the path is unknown") {
            send("/v2/other", "{}").shouldBeRefused(404)
        }

        it("is refused at once when the daemon has reached its limit of concurrent requests") {
            gate.enter() shouldBe null
            send("/services/orders/x", "{}").also { it.headers["Retry-After"] shouldBe "1" }.shouldBeRefused(503)
            gate.leave()
        }
    }

    describe("a request to a service") {
        it("is passed on with the path and query after the entry name, and with its idempotency key") {
            val answer = send("/services/orders/x/y?z=1", "{}")
            answer.status.value shouldBe 200
            answer.headers["X-Request-Id"] shouldBe "r1"
            val request = receivedRequests.single()
            request.entry.value shouldBe "orders"
            request.path shouldBe "/x/y?z=1"
            request.idempotencyKey shouldBe "k1"
            request.organisation shouldBe organisation.name
        }
    }
})
