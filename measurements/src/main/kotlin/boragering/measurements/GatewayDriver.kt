package boragering.measurements

import boragering.adapters.FreePorts
import boragering.adapters.MetricRegistry
import boragering.adapters.SystemClock
import boragering.core.AvailabilityZone
import boragering.core.InstanceId
import boragering.core.OrganisationName
import boragering.fleet.Address
import boragering.fleet.CallerLimits
import boragering.fleet.Configuration
import boragering.fleet.Instance
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.InstanceState
import boragering.fleet.Organisation
import boragering.fleet.Repeatability
import boragering.fleet.RetryLimits
import boragering.fleet.Route
import boragering.fleet.ServiceName
import boragering.fleet.ServiceProfile
import boragering.fleet.WeightedService
import boragering.gateway.DecisionLog
import boragering.gateway.Gateway
import boragering.gateway.GatewayLoop
import boragering.gateway.GatewayMetrics
import boragering.gateway.GatewayPorts
import boragering.gateway.GatewaySettings
import boragering.gateway.HeaderNames
import com.sun.management.ThreadMXBean
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import java.lang.management.ManagementFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the thread of an event loop has used. */
internal data class LoopCost(val microseconds: Double, val bytes: Double)

/**
 * A gateway on loopback between one caller and [TARGETS] targets. The caller reads each event before the target writes
 * the next, so that the gateway receives each event by itself, as from an engine that generates them.
 */
internal class GatewayDriver : AutoCloseable {
    private val taken = Semaphore(0)
    private val target = StreamTarget(taken)
    private val loop = GatewayLoop(SystemClock)
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val address = Address("127.0.0.1", FreePorts.next())
    private val caller: StreamCaller
    private val loopThread: Long

    init {
        val ports = GatewayPorts(loop, DecisionLog(SystemClock), GatewayMetrics(MetricRegistry()), Random(1), { 1 })
        val settings = GatewaySettings(
            availabilityZone = AvailabilityZone("zone-a"),
            headerNames = NAMES,
            retries = RetryLimits(ratio = 0.2, slack = 50.0, window = 10.seconds),
        )
        val gateway = Gateway(settings, ports)
        gateway.listen(address)
        loopThread = onLoop {
            gateway.configure(configuration())
            gateway.updateInstances(instances())
            Thread.currentThread().id
        }
        caller = StreamCaller(address, taken)
    }

    /** Sends [count] requests for streams of [events] events, and returns what the event loop used for them. */
    fun requests(count: Int, events: Int): LoopCost {
        val time = threads.getThreadCpuTime(loopThread)
        val bytes = threads.getThreadAllocatedBytes(loopThread)
        repeat(count) { caller.request(events) }
        return LoopCost(
            microseconds = (threads.getThreadCpuTime(loopThread) - time) / NANOSECONDS,
            bytes = (threads.getThreadAllocatedBytes(loopThread) - bytes).toDouble(),
        )
    }

    override fun close() {
        caller.close()
        target.close()
        loop.close()
    }

    private fun <T> onLoop(action: () -> T): T {
        val result = CompletableFuture<T>()
        loop.execute { result.complete(action()) }
        return result.get()
    }

    private fun instances(): InstanceList {
        val instances = List(TARGETS) {
            val start = InstanceStart(InstanceId("instance-$it"), 1)
            Instance(start, SERVICE, target.address, AvailabilityZone("zone-a"), InstanceState.SERVING, SLOTS)
        }
        return InstanceList(1, persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id }))
    }

    private fun configuration() = Configuration(
        version = 1,
        routes = persistentListOf(route()),
        services = persistentMapOf(SERVICE to ServiceProfile(SERVICE, connections = 50)),
        limits = CallerLimits(headerBytes = 8_192, bodyBytes = 100_000, headerTimeout = 5.seconds, 60.seconds),
        organisations = persistentListOf(Organisation(OrganisationName("town"), persistentSetOf(StreamCaller.KEY))),
    )

    private fun route() = Route(
        name = "completions",
        host = StreamCaller.HOST,
        prefix = "/v1/",
        repeatability = Repeatability.RESUMABLE_STREAM,
        split = persistentListOf(WeightedService(SERVICE, 1.0)),
        attempts = 3,
        timeout = 60.seconds,
        targetLatency = 300.milliseconds,
        targetGap = 200.milliseconds,
    )

    private companion object {
        const val TARGETS = 16
        const val SLOTS = 14
        const val NANOSECONDS = 1_000.0
        val SERVICE = ServiceName("pool")
        val NAMES = HeaderNames(
            requestId = "Request-Id",
            deadlineRemaining = "Deadline-Left",
            apiKey = "Api-Key",
            organisation = "Organisation",
            expectedInstance = "Expected-Instance",
            priority = "Priority",
            lastEventId = "Last-Event-Id",
            model = "Model",
            promptParts = "Prompt-Parts",
            notExecuted = "Not-Executed",
            serverLoad = "Server-Load",
            rateLimit = "Rate-Limit",
            leaving = "Leaving",
            responseSignature = "Signature",
            failedInstance = "Failed-Instance",
        )
    }
}
