package boragering.gateway

import arrow.core.Either
import arrow.core.left
import boragering.adapters.SystemClock
import boragering.core.AvailabilityZone
import boragering.core.GroupId
import boragering.core.InstanceId
import boragering.fleet.Address
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
import boragering.fleet.Order
import boragering.fleet.ServiceName
import boragering.fleet.ServiceProfile
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Engine instances that do not answer; [asked] lists those that were asked for a report. */
private class SilentInstances : OrderPort {
    val asked = CopyOnWriteArrayList<InstanceId>()

    override suspend fun send(instance: Instance, order: Order, fence: Long, orders: Long): OrderAnswer =
        OrderAnswer.NotSent("silent")

    override suspend fun report(instance: Instance): Either<ReportFailure, EngineReport> {
        asked += instance.id
        return ReportFailure("silent").left()
    }
}

private class FixedView(override val evacuatedZones: Set<AvailabilityZone>) : PlannerView {
    override val configuration: Configuration? = null
    override val list: InstanceList? = null
    override val planner: String? = null
    override val aloneInZone = false
    override val storeIsDown = false
    override val storeEra = 0L

    override fun onObserved(instances: List<Instance>) = Unit

    override fun takeSuspicions(): Set<InstanceStart> = emptySet()
}

class PlannerTermTest : DescribeSpec({
    val model = ModelProfile(ModelName("m"), groupSize = 2, share = 1.0, loadTime = 9.seconds, warmupTime = 1.seconds)
    val service = ServiceName("text")
    val engine = EngineProfile(
        slots = 4,
        models = persistentMapOf(model.name to model),
        loadsPerSecond = 4.0,
        loadsAtOnce = 4,
        formationTime = 100.milliseconds,
    )
    val configuration = Configuration(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf(service to ServiceProfile(service, connections = 10, engine = engine)),
        limits = CallerLimits(8_192, 100_000, 5.seconds, 10.seconds),
        organisations = null,
    )

    fun member(rank: Int, state: MemberState) = Instance(
        start = InstanceStart(InstanceId("i$rank"), 1),
        service = service,
        address = Address("127.0.0.1", 1),
        availabilityZone = AvailabilityZone("z"),
        state = InstanceState.SERVING,
        loaded = persistentSetOf(model.name),
        membership = GroupMembership(GroupEpoch(GroupId("g"), 1), rank, state),
    )

    val members = listOf(member(0, MemberState.OPEN), member(1, MemberState.READY))
    val list = InstanceList(1, persistentMapOf<InstanceId, Instance>().putAll(members.associateBy { it.id }))

    /** The instances that are asked for a report after a suspicion of the group, while zones are [evacuated]. */
    suspend fun askedAfterSuspicion(evacuated: Set<AvailabilityZone>): List<InstanceId> {
        val instances = SilentInstances()
        GatewayLoop(SystemClock).use { loop ->
            val log = DecisionLog(SystemClock)
            val ports = PlannerPorts(FakeLockStore(), instances, loop, SystemClock, log, Random(1))
            val term = PlannerTerm(fence = 7, ports, FixedView(evacuated)) { true }
            withContext(loop.dispatcher) {
                coroutineScope { term.step(configuration, list, setOf(members.first().start), this) }
            }
        }
        return instances.asked.distinct()
    }

    describe("a suspicion that reaches a planner in its first step") {
        it("causes a probe of the members (guards against a lost member that a new planner does not notice)") {
            askedAfterSuspicion(emptySet()) shouldContainExactlyInAnyOrder members.map { it.id }
        }

        it("causes no probe in an evacuated zone (guards against calls to instances under repair)") {
            askedAfterSuspicion(setOf(members.first().availabilityZone)).shouldBeEmpty()
        }
    }
})
