package boragering.standins

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import kotlinx.coroutines.withTimeout
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class StoreStandInTest : DescribeSpec({
    describe("compare-and-swap") {
        it("leaves the value of the first writer when the second names an old revision") {
            val state = KeyValueState()
            val first = state.transact(write("a", revision = 0, value = "x"))
            val second = state.transact(write("a", revision = 0, value = "y"))

            first.succeeded shouldBe true
            second.succeeded shouldBe false
            second.header.revision shouldBe first.header.revision
            state.values("a") shouldBe listOf("x")
        }
    }

    describe("a lease") {
        it("deletes its keys when it was not renewed in time") {
            val time = TestTimeSource()
            val state = KeyValueState(time)
            state.grant(id = 7, seconds = 10)
            state.transact(write("daemon", revision = 0, value = "x", lease = 7))
            time += 9.seconds
            state.keepAlive(7).timeToLive shouldBe 10
            time += 9.seconds
            state.values("daemon") shouldHaveSize 1

            time += 1.seconds + 1.milliseconds

            state.values("daemon").shouldBeEmpty()
            state.keepAlive(7).timeToLive shouldBe 0
            state.record().last().value shouldBe null
        }
    }

    describe("a lost response") {
        it("is a closed connection after the write was applied, once and only below the prefix") {
            withStandIns {
                val store = start(StoreStandIn(KeyValueState())::serve)
                put(store, "/control/faults", StoreFaults(loseResponses = 1, losePrefix = "claims/"))
                post(store, "/v3/kv/txn", write("other", revision = 0, value = "x")).status.value shouldBe 200

                shouldThrow<IOException> { post(store, "/v3/kv/txn", write("claims/1", revision = 0, value = "y")) }

                val found = post(store, "/v3/kv/range", RangeRequest(encodeKey("claims/1"))).bodyAsText()
                val pair = standInJson.decodeFromString<RangeResponse>(found).kvs.single()
                decodeText(pair.value) shouldBe "y"
                post(store, "/v3/kv/txn", write("claims/1", pair.modRevision, "z")).status.value shouldBe 200
            }
        }
    }

    describe("an outage") {
        it("closes connections without applying anything") {
            withStandIns {
                val state = KeyValueState()
                val store = start(StoreStandIn(state)::serve)
                put(store, "/control/faults", StoreFaults(outage = true))

                shouldThrow<IOException> { post(store, "/v3/kv/txn", write("a", revision = 0, value = "x")) }

                state.record().shouldBeEmpty()
            }
        }
    }

    describe("a watch") {
        it("reports a later change of its key and no other") {
            withStandIns {
                val state = KeyValueState()
                val store = start(StoreStandIn(state)::serve)
                val watch = WatchRequest(WatchCreation(encodeKey("a")))

                client.preparePost("http://$store/v3/watch") { setBody(standInJson.encodeToString(watch)) }.execute {
                    val lines = it.bodyAsChannel()
                    watchLine(lines.readLine()).created shouldBe true
                    state.transact(write("b", revision = 0, value = "x"))
                    state.transact(write("a", revision = 0, value = "y"))

                    val change = withTimeout(waitLimit) { watchLine(lines.readLine()) }
                    change.events.map { event -> decodeText(event.kv.value) } shouldBe listOf("y")
                }
            }
        }
    }
})

private fun write(key: String, revision: Long, value: String, lease: Long = 0): TransactionRequest {
    val put = PutRequest(encodeKey(key), encodeKey(value), lease)
    val unchanged = Comparison(encodeKey(key), target = "MOD", modRevision = revision)
    return TransactionRequest(listOf(unchanged), listOf(RequestOperation(put = put)))
}

private fun KeyValueState.values(key: String): List<String> {
    val read = TransactionRequest(success = listOf(RequestOperation(range = RangeRequest(encodeKey(key)))))
    return transact(read).responses.single().range?.kvs.orEmpty().map { decodeText(it.value) }
}

private fun watchLine(line: String?): WatchResponse =
    standInJson.decodeFromString<StreamResult<WatchResponse>>(checkNotNull(line) { "the watch ended" }).result
