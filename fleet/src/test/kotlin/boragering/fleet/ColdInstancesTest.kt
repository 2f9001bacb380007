package boragering.fleet

import boragering.core.AvailabilityZone
import boragering.core.InstanceId
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val COLD_START = ColdStartProfile(3.seconds, requestsPerSecond = 17.0)
private val ALLOWANCE = ColdAllowance(overrun = 1.5, slack = 5.0)

/** All gateways want to send to one target that comes back cold; [partitioned] of them know no other gateway. */
private data class ReturnLoad(val gateways: Int, val wantedPerSecond: Double, val partitioned: Int)

/** Times at which requests reach the target while it is cold. */
private fun play(load: ReturnLoad, seed: Int): List<Duration> {
    val random = Random(seed)
    val limit = ALLOWANCE.limit(COLD_START.requestsPerSecond)
    val rates = List(load.gateways) { number ->
        TargetRate({ maxHolders ->
            val holders = minOf(maxHolders, load.gateways)
            if (number < load.partitioned) {
                RateShare(holders = load.gateways, load.gateways, holding = true)
            } else {
                RateShare(holders, load.gateways, holding = load.gateways - number <= holders)
            }
        }, Random(seed * load.gateways + number))
    }
    val sent = ArrayList<Duration>()
    var now = Duration.ZERO
    while (now < 30.seconds) {
        now += 1.seconds / load.wantedPerSecond * 2 * random.nextDouble()
        val rate = rates[random.nextInt(load.gateways)]
        if (!rate.mayTake(now, limit)) continue
        rate.onSend(now)
        sent += now
    }
    return sent
}

class ColdInstancesTest : DescribeSpec({
    describe("gateways before a target that comes back cold") {
        listOf(
            ReturnLoad(gateways = 6, wantedPerSecond = 200.0, partitioned = 0),
            ReturnLoad(gateways = 18, wantedPerSecond = 200.0, partitioned = 2),
            ReturnLoad(gateways = 79, wantedPerSecond = 400.0, partitioned = 4),
            ReturnLoad(gateways = 430, wantedPerSecond = 2_000.0, partitioned = 4),
        ).forEach { load ->
            it("send no more than it sustains with $load (guards against instances that crash as they come back)") {
                repeat(20) { seed ->
                    withClue("seed $seed") {
                        val sent = play(load, seed)
                        val most = sent.maxOf { start -> sent.count { it >= start && it < start + 1.seconds } }
                        most.toDouble() shouldBeLessThanOrEqual
                            COLD_START.requestsPerSecond * ALLOWANCE.overrun + ALLOWANCE.slack
                        sent.size / 30.0 shouldBeGreaterThan COLD_START.requestsPerSecond * 0.6
                    }
                }
            }
        }
    }

    describe("an allowance") {
        it("stays within its bound where it is small (guards against a rate that leaves no room for the holders)") {
            listOf(0.5, 1.0, 2.0, 10.0).forEach { sustained ->
                val limit = ColdAllowance(overrun = 1.5, slack = 0.0).limit(sustained)
                limit.perSecond shouldBeLessThanOrEqual sustained * 1.5
            }
        }
    }

    describe("an instance") {
        val service = ServiceProfile(TestModels.service, connections = 10, coldStart = COLD_START)
        fun instance(id: String, startedAt: Long, coldRemaining: Duration?) = Instance(
            start = InstanceStart(InstanceId(id), startedAt),
            service = TestModels.service,
            address = Address(id, 1),
            availabilityZone = AvailabilityZone("a"),
            state = InstanceState.SERVING,
            coldRemaining = coldRemaining,
        )
        fun list(vararg instances: Instance) =
            InstanceList(1, persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id }))
        fun target(vararg members: Instance) = Target(
            service = TestModels.service,
            address = Address("head", 1),
            availabilityZone = AvailabilityZone("a"),
            slots = 1,
            members = persistentListOf<InstanceStart>().addAll(members.map { it.start }),
        )
        fun instances() = ColdInstances(ALLOWANCE).also { it.configure(listOf(service)) }

        it("is cold for as long as it states (guards against a target that stays limited)") {
            val cold = instances()
            val stating = instance("i", startedAt = 1, coldRemaining = 2.seconds)
            cold.update(list(stating), 10.seconds).shouldContainExactly(stating.start)
            cold.limit(target(stating), 11_900.milliseconds).shouldNotBeNull()
            cold.limit(target(stating), 12.seconds).shouldBeNull()
        }

        it("is cold for the service's cold time at most (guards against an entry with a wrong time)") {
            val cold = instances()
            val stating = instance("i", startedAt = 1, coldRemaining = 1.seconds * 1_000)
            cold.update(list(stating), 10.seconds)
            cold.limit(target(stating), 13.seconds).shouldBeNull()
        }

        it("makes its whole group cold (guards against groups with one member that has just started)") {
            val cold = instances()
            val warm = instance("i", startedAt = 1, coldRemaining = Duration.ZERO)
            val stating = instance("j", startedAt = 1, coldRemaining = 2.seconds)
            cold.update(list(warm, stating), 10.seconds)
            cold.limit(target(warm, stating), 10.seconds).shouldNotBeNull()
            cold.limit(target(warm), 10.seconds).shouldBeNull()
        }

        it("that is new and states nothing is cold (guards against entries that come from another writer)") {
            val cold = instances()
            val first = instance("i", startedAt = 1, coldRemaining = null)
            cold.update(list(first), 10.seconds)
            cold.limit(target(first), 10.seconds).shouldBeNull()
            val restarted = instance("i", startedAt = 2, coldRemaining = null)
            cold.update(list(restarted), 20.seconds)
            cold.limit(target(restarted), 20.seconds).shouldNotBeNull()
        }

        it("is not cold because of a new configuration (guards against a service that is throttled by a change)") {
            val cold = instances()
            val warm = instance("i", startedAt = 1, coldRemaining = null)
            cold.update(list(warm), 10.seconds)
            cold.configure(listOf(service.copy(coldStart = COLD_START.copy(requestsPerSecond = 20.0))))
            cold.update(list(warm), 11.seconds)
            cold.limit(target(warm), 11.seconds).shouldBeNull()
        }

        it("is cold no longer because its entry changes otherwise (guards against a time that begins anew)") {
            val cold = instances()
            val stating = instance("i", startedAt = 1, coldRemaining = 2.seconds)
            cold.update(list(stating), 10.seconds)
            cold.update(list(stating.copy(slots = 2)), 11.seconds)
            cold.limit(target(stating), 12.seconds).shouldBeNull()
        }

        it("of a zone that was evacuated is cold once it is reopened (guards against a rush into a returned zone)") {
            val cold = instances()
            val warm = instance("i", startedAt = 1, coldRemaining = Duration.ZERO)
            cold.update(list(warm), 10.seconds)
            cold.onZoneReopened(AvailabilityZone("a"), 20.seconds)
            cold.limit(target(warm), 22.seconds).shouldNotBeNull()
            cold.limit(target(warm), 23.seconds).shouldBeNull()
        }
    }
})
