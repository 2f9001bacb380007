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
    val served = CopyOnWriteArrayList<CallerRequest>()
    val service =
        RequestService { request, receive ->
            served += request
            receive(AnswerPart.Start(200, persistentListOf(Header("Content-Type", "application/json"))))
            RequestResult.Complete
        }
    val gate = RequestGate(maximumRequests = 1) { true }
    val callers =
        CallerServer(
            authentication = CallerAuthentication { catalogue },
            gate = gate,
            writer = AnswerWriter(service),
            requestIds = { RequestId("r1") },
            maximumBodyBytes = 100,
        )
    val server = embeddedServer(Netty, host = "127.0.0.1", port = 0) { callers.install(this) }.start()
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

    suspend fun HttpResponse.shouldBeNotRun(status: Int) {
        this.status.value shouldBe status
        bodyAsText() shouldContain "\"outcome\":\"not-run\""
        served.size shouldBe 0
    }

    beforeEach { served.clear() }

    describe("a request that cannot be served") {
        it("is refused without a token of an organisation") {
            send("/v1/chat/completions", "{\"model\":\"m\"}", token = null).shouldBeNotRun(401)
            send("/v1/chat/completions", "{\"model\":\"m\"}", token = "other").shouldBeNotRun(401)
        }

        it("is refused when its body is over the limit") {
            send("/services/orders/x", "x".repeat(101)).shouldBeNotRun(413)
        }

        it("is refused when its body is not a completion request") {
            send("/v1/chat/completions", "{").shouldBeNotRun(400)
            send("/v1/chat/completions", "{}").shouldBeNotRun(400)
            send("/v1/chat/completions", "{\"model\":\"m\",\"max_tokens\":0}").shouldBeNotRun(400)
        }

        it("is refused when the path is unknown") {
            send("/v2/other", "{}").shouldBeNotRun(404)
        }

        it("is refused at once when the daemon has as many as it may") {
            gate.enter() shouldBe null
            send("/services/orders/x", "{}").also { it.headers["Retry-After"] shouldBe "1" }.shouldBeNotRun(503)
            gate.leave()
        }
    }

    describe("a request of a service") {
        it("carries the path below the entry with its query, and the key") {
            val answer = send("/services/orders/x/y?z=1", "{}")
            answer.status.value shouldBe 200
            answer.headers["X-Request-Id"] shouldBe "r1"
            val request = served.single()
            request.entry.value shouldBe "orders"
            request.path shouldBe "/x/y?z=1"
            request.idempotencyKey shouldBe "k1"
            request.organisation shouldBe organisation.name
        }
    }
})
