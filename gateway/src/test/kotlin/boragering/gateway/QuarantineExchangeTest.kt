package boragering.gateway

import boragering.gateway.QuarantineNetwork.Companion.PART
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GATEWAYS = 9
private val WAIT = 8.seconds

class QuarantineExchangeTest : DescribeSpec({
    suspend fun with(action: suspend QuarantineNetwork.() -> Unit) = QuarantineNetwork(GATEWAYS).use { it.action() }

    /** Three crashes with the part, each at another gateway. */
    fun QuarantineNetwork.crashThrice() = repeat(3) { number ->
        crash(number, PART)
        clock.advance(200.milliseconds)
    }

    suspend fun QuarantineNetwork.awaitRefusing(count: Int) = eventually(WAIT) { refusing(PART) shouldBe count }

    describe("crashes that several gateways see") {
        it("put the part into quarantine at all of them (guards against evidence that stays where it was seen)") {
            with {
                crashThrice()
                awaitRefusing(GATEWAYS)
                eventually(WAIT) { store.keys shouldHaveSize 1 }
            }
        }

        it("do so while the store is away, also at a gateway that starts then (guards against gaps in outages)") {
            with {
                store.down = true
                crashThrice()
                awaitRefusing(GATEWAYS)
                add()
                awaitRefusing(GATEWAYS + 1)
                store.down = false
                eventually(WAIT) { store.keys shouldHaveSize 1 }
            }
        }
    }

    describe("a quarantine") {
        it("is known to gateways that start after all others were lost (guards against restarts that forget it)") {
            with {
                crashThrice()
                eventually(WAIT) { store.keys shouldHaveSize 1 }
                replaceAll()
                refusing(PART) shouldBe GATEWAYS
            }
        }

        it("is written again when its document lapses in an outage (guards against restarts after it)") {
            with {
                crashThrice()
                eventually(WAIT) { store.keys shouldHaveSize 1 }
                eventually(WAIT) { settled() shouldBe true }
                clock.advance(5.seconds)
                store.lapse()
                eventually(WAIT) { store.keys shouldHaveSize 1 }
            }
        }

        it("is told to a gateway that reports a further crash (guards against a gateway that missed it)") {
            with {
                crashThrice()
                awaitRefusing(GATEWAYS)
                eventually(WAIT) { store.keys shouldHaveSize 1 }
                store.down = true
                add()
                refusing(PART) shouldBe GATEWAYS
                crash(GATEWAYS, PART)
                awaitRefusing(GATEWAYS + 1)
            }
        }

        it("ends everywhere once a request is answered (guards against sound parts that stay refused)") {
            with {
                crashThrice()
                awaitRefusing(GATEWAYS)
                eventually(WAIT) { store.keys shouldHaveSize 1 }
                answer(number = 5, PART)
                awaitRefusing(0)
                eventually(WAIT) { store.keys.shouldBeEmpty() }
            }
        }

        it("is not taken from a document that cannot be read (guards against failures at other writers' documents)") {
            with {
                store.write("boragering/quarantine/pool/bad", "not a document")
                refusing(PART) shouldBe 0
            }
        }
    }
})
