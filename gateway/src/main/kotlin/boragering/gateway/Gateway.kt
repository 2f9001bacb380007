package boragering.gateway

import boragering.fleet.Address
import boragering.fleet.Configuration
import boragering.fleet.InstanceList
import boragering.fleet.InstanceStart
import boragering.fleet.ZoneEvacuations
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Receives the requests of callers, forwards each to a target that can serve it, and returns the target's response.
 * [configure], [updateEvacuations] and [updateInstances] provide the configuration, the evacuated availability zones
 * and the instances; all are called on the event loop. The evacuations that are known must be passed before the first
 * list of instances, because the gateway serves from then on.
 */
class Gateway(private val settings: GatewaySettings, private val ports: GatewayPorts) {
    private val state = GatewayState(settings, ports)
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /** A connection that is paused for want of memory holds what one read has brought. */
    private val receiveBuffers =
        AdaptiveRecvByteBufAllocator(MIN_RECEIVE_BYTES, INITIAL_RECEIVE_BYTES, MAX_CHUNK_BYTES)

    /** Whether the gateway can serve requests. */
    val ready: Boolean get() = state.ready

    /** Number of requests whose response is not complete. */
    val requestsInProgress: Int get() = state.exchanges.size

    /** Number of open connections of callers. */
    val callers: Int get() = connections.size

    /** Memory of the bodies of requests and responses in progress, in bytes. */
    val bodyBytes: Long get() = state.bodyMemory.used

    /** Highest value of [bodyBytes] so far. */
    val highestBodyBytes: Long get() = state.bodyMemory.highestUse

    /** Number of instances that are cold or were so lately. */
    val coldInstances: Int get() = state.coldTargets.instances

    /** Memory of streams whose callers read slowly, in bytes; part of [bodyBytes]. */
    val streamBytes: Long get() = state.bodyMemory.usedByStreams

    /** Number of targets that may get requests. */
    val targets: Int get() = state.targets.all.size

    /** The demand for the models of each service. */
    val demand: PoolDemand get() = state.demand

    /** Number of evacuated availability zones. */
    val evacuatedZones: Int get() = state.evacuations.zones.size

    /** Number of targets that get no requests because a member is in an evacuated availability zone. */
    val evacuatedTargets: Int get() = state.targets.withheld.size

    /** Number of targets whose events come more slowly than those of the others of their service and model. */
    val slowTargets: Int get() = state.paceMonitor.slowTargets

    /** Receives other gateways' reports of prompt parts that crash targets. */
    val promptReports: PromptReports get() = state.promptGuard

    /** Number of requests that wait for capacity. */
    val admissionWaiting: Int get() = state.admission.waiting

    /** Exchanges with other gateways what is known of the demand for capacity that is short. */
    val admissionReports: AdmissionReports get() = state.admission

    /** Starts to listen at [address]. */
    fun listen(address: Address) {
        scheduleTimeoutCheck()
        ports.loop.every(CALLER_CHECK_INTERVAL) { connections.toList().forEach { it.checkTimeouts(ports.loop.now()) } }
        ports.loop.every(DemandObserver.INTERVAL, state.demand::observe)
        ports.loop.every(PACE_CHECK_INTERVAL) { state.paceMonitor.check() }
        ports.loop.after(MAX_STARTUP_TIME) { state.endStartup() }
        val bound = ServerBootstrap().group(ports.loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BYTES)
            .childHandler(initializer())
            .bind(address.host, address.port)
            .syncUninterruptibly()
        listener = bound.channel()
    }

    /** Applies [configuration] to all later requests. */
    fun configure(configuration: Configuration) = state.configure(configuration)

    /** Replaces the known instances by [list]. */
    fun updateInstances(list: InstanceList) = state.updateInstances(list)

    /** Sends no further request to targets with a member in an evacuated availability zone of [evacuations]. */
    fun updateEvacuations(evacuations: ZoneEvacuations) = state.updateEvacuations(evacuations)

    /** Handles the report of another gateway that the target with the head instance [head] seems to have failed. */
    fun onPeerSuspicion(head: InstanceStart) = state.suspicions.onPeerSuspicion(head)

    /** Handles another gateway's report that the target with the head instance [head] takes any rate again. */
    fun onPeerRateEnd(head: InstanceStart) = state.usages.endRateLimit(head)

    /**
     * Stops gracefully within [limit]. The gateway reports that it is not ready, serves requests that arrive until the
     * load balancer has redirected the callers, and returns when no request is left, or answers those that are left at
     * the limit. It then accepts no connections, so that the process can exit.
     */
    suspend fun drain(limit: Duration) = withContext(ports.loop.dispatcher) {
        val start = ports.loop.now()
        state.drain = GatewayDrain(start, endsAt = start + limit)
        while (ports.loop.now() - start < limit) {
            val redirected = ports.loop.now() - start >= CALLER_REDIRECTION_TIME
            if (redirected) connections.filter { it.idle }.forEach { it.close() }
            if (redirected && state.exchanges.isEmpty() && connections.none { !it.idle }) break
            delay(CHECK_INTERVAL)
        }
        listener?.close()
        ports.log.event("gateway-drained", "requestsLeft" to state.exchanges.size, "after" to ports.loop.now() - start)
        state.exchanges.toList().forEach { it.onGatewayStop() }
    }

    /** Schedules the next check of request timeouts, which runs less often while there are no requests. */
    private fun scheduleTimeoutCheck() {
        val interval = if (state.exchanges.isEmpty()) IDLE_CHECK_INTERVAL else CHECK_INTERVAL
        state.loopLag.onTurn(ports.loop.now(), interval)
        ports.loop.after(interval) {
            val now = ports.loop.now()
            state.exchanges.toList().forEach { it.checkTimeouts(now) }
            scheduleTimeoutCheck()
        }
    }

    /**
     * Closes one connection of a caller, an idle one if possible. Target connections need file descriptors as well, so
     * callers with idle connections must not use all of them.
     */
    private fun closeOneCaller() {
        val idle = connections.firstOrNull { it.idle } ?: connections.first()
        ports.log.event("caller-closed-for-another", "callers" to connections.size, "idle" to idle.idle)
        connections -= idle
        idle.close()
    }

    private fun initializer(): ChannelInitializer<Channel> = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val headerBytes = state.routes?.limits?.headerBytes ?: DEFAULT_MAX_HEADER_BYTES
            val receiveTracker = ReceiveTracker(state)
            val connection = CallerConnection(state, channel, receiveTracker) { connections -= it }
            if (connections.size >= settings.maxCallers) closeOneCaller()
            connections += connection
            channel.pipeline().addLast(
                receiveTracker,
                HttpRequestDecoder(headerBytes, headerBytes, MAX_CHUNK_BYTES),
                HttpResponseEncoder(),
                connection,
            )
        }
    }

    private companion object {
        val PACE_CHECK_INTERVAL = 1.seconds
        val CHECK_INTERVAL = 50.milliseconds
        val IDLE_CHECK_INTERVAL = 200.milliseconds

        /** Interval between timeout checks of caller connections, whose limits are in the range of seconds. */
        val CALLER_CHECK_INTERVAL = 250.milliseconds

        /** Longest time after the start for which requests wait for the first read of the store. */
        val MAX_STARTUP_TIME = 1.seconds

        /** Time that the callers' load balancer needs to detect that a gateway is not ready. */
        val CALLER_REDIRECTION_TIME = 2.seconds + 500.milliseconds
        const val BACKLOG = 1024
        const val DEFAULT_MAX_HEADER_BYTES = 16 shl 10
        const val MAX_CHUNK_BYTES = 16 shl 10
        const val MIN_RECEIVE_BYTES = 256
        const val INITIAL_RECEIVE_BYTES = 2_048

        /** Bytes that wait in a connection: above the second, streams wait in their backlogs until the first. */
        val UNSENT_BYTES = WriteBufferWaterMark(8 shl 10, 16 shl 10)
    }
}
