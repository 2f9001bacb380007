package boragering.gateway

import boragering.adapters.FreePorts
import boragering.adapters.MetricRegistry
import boragering.adapters.SystemClock
import boragering.core.AvailabilityZone
import boragering.core.Clock
import boragering.core.InstanceId
import boragering.core.OrganisationName
import boragering.fleet.Address
import boragering.fleet.CallerLimits
import boragering.fleet.ColdAllowance
import boragering.fleet.ColdStartProfile
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
import boragering.fleet.ZoneEvacuations
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val TEST_NAMES = HeaderNames(
    requestId = "Id",
    deadlineRemaining = "Time-Left",
    apiKey = "Key",
    organisation = "Organisation",
    expectedInstance = "Instance",
    priority = "Urgency",
    lastEventId = "Last-Event-Id",
    model = "Model",
    promptParts = "Prompt-Parts",
    notExecuted = "Not-Run",
    serverLoad = "Load",
    rateLimit = "Limit",
    leaving = "Leaving",
    responseSignature = "Signature",
    failedInstance = "Failed-Instance",
)

/** The system clock with a monotonic time that a test can advance, and stop. */
internal class MovableClock : Clock by SystemClock {
    @Volatile
    private var advanced = Duration.ZERO

    @Volatile
    private var stoppedAt: Duration? = null

    /** How long the time takes to be read, which slows the steps of the event loop down. */
    @Volatile
    var readingMilliseconds = 0L

    override fun monotonic(): Duration {
        if (readingMilliseconds > 0) Thread.sleep(readingMilliseconds)
        return (stoppedAt ?: SystemClock.monotonic()) + advanced
    }

    /**
     * Stops the time, which from now on moves by [advance] only. What a gateway then does, it does at once, however
     * slow the machine is.
     */
    fun stop() {
        stoppedAt = SystemClock.monotonic()
    }

    fun advance(time: Duration) {
        advanced += time
    }
}

/**
 * How many connections of [callers] a gateway takes, how many bytes of bodies, and whether the capacity of its targets
 * is [prioritised].
 */
internal class GatewayCapacity(
    val callers: Int = 100,
    val bodyBytes: Long = 64L shl 20,
    val prioritised: Boolean = false,
)

/**
 * A gateway on loopback with [targets] and one route for each repeatability, such as `/idempotent/`. The routes have
 * different priorities if the capacity is prioritised.
 */
internal class GatewayFixture(
    private vararg val targets: ScriptedTarget,
    private val timeout: Duration = 5.seconds,
    private val attempts: Int = 2,
    private val limits: CallerLimits = CallerLimits(8_192, 100_000, 5.seconds, 10.seconds),
    configured: Boolean = true,
    private val capacity: GatewayCapacity = GatewayCapacity(),
) : AutoCloseable {
    val clock = MovableClock()
    private val loop = GatewayLoop(clock)
    private val service = ServiceName("service")
    private val settings = GatewaySettings(
        availabilityZone = AvailabilityZone("z"),
        headerNames = TEST_NAMES,
        retries = RetryLimits(ratio = 0.2, slack = 50.0, window = 10.seconds),
        maxCallers = capacity.callers,
        bodyMemory = capacity.bodyBytes,
        coldAllowance = ColdAllowance(overrun = 1.5, slack = 0.0),
    )
    private val ports =
        GatewayPorts(loop, DecisionLog(clock), GatewayMetrics(MetricRegistry()), Random(1), { 1 })
    private var evacuations = ZoneEvacuations()
    val gateway = Gateway(settings, ports)
    val address = Address("127.0.0.1", FreePorts.next())

    /** How the targets behave after a start, and how long each is still cold; in force from the next [configure] on. */
    var coldStart: ColdStartProfile? = null
    var coldTimes: List<Duration> = emptyList()

    init {
        gateway.listen(address)
        if (configured) configure()
    }

    /** Provides the configuration and the instances to the gateway. */
    fun configure() = onLoop {
        gateway.configure(configuration())
        gateway.updateInstances(list())
    }

    /** Tells the gateway that operators have evacuated [evacuated] and no other availability zones. */
    fun evacuate(vararg evacuated: String) = onLoop {
        val now = clock.monotonic()
        val opened = evacuations.zones.fold(evacuations) { known, zone -> known.reopen(zone, now) }
        evacuations = evacuated.fold(opened) { known, zone -> known.evacuate(AvailabilityZone(zone), now) }
        gateway.updateEvacuations(evacuations)
    }

    fun onLoop(action: () -> Unit) {
        val done = CountDownLatch(1)
        loop.execute {
            action()
            done.countDown()
        }
        done.await()
    }

    /** Opens a connection to the gateway. */
    fun caller(): RawCaller = RawCaller(Socket(address.host, address.port))

    override fun close() = loop.close()

    private fun list(): InstanceList {
        val instances = targets.mapIndexed { index, target ->
            val start = InstanceStart(InstanceId("i$index"), 1)
            Instance(start, service, target.address, AvailabilityZone(target.zone), InstanceState.SERVING, slots = 4)
                .copy(coldRemaining = coldTimes.getOrNull(index))
        }
        return InstanceList(1, persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id }))
    }

    private fun configuration() = Configuration(
        version = 1,
        routes = persistentListOf<Route>().addAll(Repeatability.entries.map(::route)),
        services = persistentMapOf(service to ServiceProfile(service, connections = 50, coldStart = coldStart)),
        limits = limits,
        organisations = persistentListOf(Organisation(OrganisationName("town"), persistentSetOf("secret"))),
    )

    private fun route(repeatability: Repeatability) = Route(
        name = repeatability.name.lowercase(),
        host = "x.example",
        prefix = "/${repeatability.name.lowercase()}/",
        repeatability = repeatability,
        split = persistentListOf(WeightedService(service, 1.0)),
        attempts = attempts,
        timeout = timeout,
        targetLatency = if (capacity.prioritised) 600.milliseconds else 300.milliseconds,
        targetGap = 200.milliseconds,
        priority = if (capacity.prioritised) repeatability.ordinal else 0,
    )
}

/** A caller that reads and writes raw bytes on its connection. */
internal class RawCaller(private val socket: Socket) : AutoCloseable {
    /** Id of the next request. */
    var id = "r1"

    init {
        socket.soTimeout = READ_TIMEOUT_MILLISECONDS
    }

    fun write(text: String) = socket.getOutputStream().apply { write(text.toByteArray()) }.flush()

    /** Sends a request for [path] with the required headers and [more]. */
    fun request(path: String, vararg more: String, method: String = "POST", body: String = "", key: String = "secret") {
        val own = listOf("$method $path HTTP/1.1", "Host: x.example", "Id: $id", "Time-Left: 4000", "Key: $key")
        val length = if (body.isEmpty()) emptyList() else listOf("Content-Length: ${body.length}")
        write((own + more + length).joinToString("\r\n") + "\r\n\r\n" + body)
    }

    /** Reads until [text] has arrived. */
    fun awaitText(text: String) {
        val read = StringBuilder()
        while (text !in read) read.append(socket.getInputStream().read().toChar())
    }

    /** Reads the next response; `null` if the connection ends before one begins. */
    fun answer(): ReadMessage? = readMessage(socket.getInputStream())

    /** Sends a request and reads its response. */
    fun call(path: String, vararg more: String, body: String = ""): ReadMessage {
        request(path, *more, body = body)
        return checkNotNull(answer())
    }

    override fun close() = socket.close()

    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 10_000
    }
}

/** The status code of a response. */
internal val ReadMessage.status: Int get() = startLine.split(' ')[1].toInt()
