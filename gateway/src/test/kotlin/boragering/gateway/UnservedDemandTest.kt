package boragering.gateway

import boragering.core.AvailabilityZone
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.fleet.CallerLimits
import boragering.fleet.Configuration
import boragering.fleet.EngineProfile
import boragering.fleet.GroupEpoch
import boragering.fleet.GroupMembership
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.InstanceState
import boragering.fleet.MemberState
import boragering.fleet.ModelName
import boragering.fleet.ModelProfile
import boragering.fleet.Repeatability
import boragering.fleet.Route
import boragering.fleet.ServiceName
import boragering.fleet.ServiceProfile
import boragering.fleet.WeightedService
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceName("engines")
private val WANTED = ModelProfile(ModelName("wanted"), groupSize = 1, share = 0.5, 12.seconds, 1.seconds)
private val OTHER = WANTED.copy(name = ModelName("other"))

private val ENGINE = EngineProfile(
    slots = 4,
    models = persistentMapOf(WANTED.name to WANTED, OTHER.name to OTHER),
    loadsPerSecond = 1.0,
    loadsAtOnce = 1,
    formationTime = 300.milliseconds,
)

/** Requests for a model whose only group has been lost. */
class UnservedDemandTest : DescribeSpec({
    fun configuration() = Configuration(
        version = 2,
        routes = persistentListOf(
            Route(
                name = "text",
                host = "x.example",
                prefix = "/text/",
                repeatability = Repeatability.NON_IDEMPOTENT,
                split = persistentListOf(WeightedService(SERVICE, 1.0)),
                attempts = 1,
                timeout = 5.seconds,
                targetLatency = 300.milliseconds,
            ),
        ),
        services = persistentMapOf(SERVICE to ServiceProfile(SERVICE, connections = 50, engine = ENGINE)),
        limits = CallerLimits(8_192, 100_000, 5.seconds, 10.seconds),
    )

    fun head(target: ScriptedTarget): Instance {
        val start = InstanceStart(InstanceId("i"), 1)
        return Instance(start, SERVICE, target.address, AvailabilityZone("z"), InstanceState.SERVING, slots = 4).copy(
            loaded = persistentSetOf(WANTED.name),
            membership = GroupMembership(GroupEpoch(GroupId("g"), 1), rank = 0, MemberState.OPEN),
        )
    }

    fun GatewayFixture.share(model: ModelName): Double {
        var share = 0.0
        onLoop { share = gateway.demand.applyTo(SERVICE, ENGINE).models.getValue(model).share }
        return share
    }

    it("counts as demand for the model (guards against a planner that gives it no group)") {
        lateinit var gateway: GatewayFixture
        val target = ScriptedTarget {
            gateway.clock.advance(2.seconds)
            answer(200, "done")
        }
        GatewayFixture(target, configured = false).also { gateway = it }.use { fixture ->
            val listed = head(target)
            fixture.onLoop {
                fixture.gateway.configure(configuration())
                fixture.gateway.updateInstances(InstanceList(1, persistentMapOf(listed.id to listed)))
            }
            fixture.caller().use { it.call("/text/a", "Model: wanted").status shouldBe 200 }
            fixture.onLoop { fixture.gateway.updateInstances(InstanceList(2, persistentMapOf())) }

            // The rate of the requests counts; on a busy machine they would be too few in a second.
            fixture.clock.stop()
            fixture.caller().use { caller ->
                eventually(30.seconds) {
                    repeat(40) { caller.call("/text/a", "Model: wanted").status shouldBe 503 }
                    fixture.clock.advance(1.seconds)
                    fixture.share(WANTED.name) shouldBeGreaterThan 0.7
                }
            }
        }
    }
})
