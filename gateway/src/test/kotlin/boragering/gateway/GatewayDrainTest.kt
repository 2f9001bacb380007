package boragering.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GatewayDrainTest : DescribeSpec({
    /** Drains within [limit], and returns when the drain has begun. */
    fun GatewayFixture.drain(limit: Duration): CompletableFuture<Void> {
        val drained = CompletableFuture.runAsync { runBlocking { gateway.drain(limit) } }
        while (gateway.ready) Thread.onSpinWait()
        return drained
    }

    describe("a gateway that has drained for longer than callers need to be redirected") {
        it("refuses, as not run, what may last longer than itself (guards against requests that are cut)") {
            val received = AtomicInteger()
            val target = ScriptedTarget {
                received.incrementAndGet()
                answer(200, "done")
            }
            with(GatewayFixture(target)) {
                // An open connection, as callers keep using until the process is gone.
                val caller = caller()
                caller.write("POST /non_idempotent/a HTTP/1.1\r\n")
                val drained = drain(limit = 7.seconds)
                clock.advance(3.5.seconds)
                caller.write("Host: x.example\r\nId: r1\r\nTime-Left: 4000\r\nKey: secret\r\n\r\n")
                val refused = caller.answer().shouldNotBeNull()
                refused.status shouldBe 503
                refused.header("retry-after").shouldNotBeNull()
                received.get() shouldBe 0
                drained.get(10, TimeUnit.SECONDS)
            }
        }

        it("takes what ends before itself (guards against needless refusals)") {
            with(GatewayFixture(ScriptedTarget { answer(200, "done") })) {
                val caller = caller()
                caller.write("POST /non_idempotent/a HTTP/1.1\r\n")
                val drained = drain(limit = 7.seconds)
                clock.advance(3.5.seconds)
                caller.write("Host: x.example\r\nId: r1\r\nTime-Left: 1500\r\nKey: secret\r\n\r\n")
                caller.answer().shouldNotBeNull().status shouldBe 200
                drained.get(10, TimeUnit.SECONDS)
            }
        }
    }

    describe("a request that is in progress at the end of the drain") {
        it("is answered 502 if it may have run (guards against connections that end without an answer)") {
            with(GatewayFixture(ScriptedTarget { closedWithin(5_000) })) {
                val caller = caller()
                caller.request("/non_idempotent/a")
                val drained = drain(limit = 500.milliseconds)
                caller.answer().shouldNotBeNull().status shouldBe 502
                drained.get(10, TimeUnit.SECONDS)
            }
        }
    }
})
