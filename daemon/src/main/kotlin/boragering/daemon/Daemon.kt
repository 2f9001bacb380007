package boragering.daemon

import boragering.adapters.EtcdStore
import boragering.adapters.HttpClients
import boragering.adapters.HttpLiveList
import boragering.adapters.HttpTargetCalls
import boragering.adapters.HttpTargets
import boragering.adapters.MetricRegistry
import boragering.adapters.PeerLinkSettings
import boragering.adapters.PeerStack
import boragering.adapters.PeerStackPorts
import boragering.adapters.PeerStackSettings
import boragering.adapters.SystemClock
import boragering.core.DaemonId
import boragering.core.RequestId
import boragering.core.catalogue.CatalogueReplica
import boragering.core.catalogue.CatalogueWriter
import boragering.core.groups.ControllerPorts
import boragering.core.groups.ControllerSettings
import boragering.core.groups.ControllerState
import boragering.core.groups.DivisionReplica
import boragering.core.groups.DomainController
import boragering.core.groups.EchoTracker
import boragering.core.groups.GroupHealth
import boragering.core.groups.HealthSettings
import boragering.core.groups.PlanningSettings
import boragering.core.membership.PeerMessage
import boragering.core.membership.Registration
import boragering.core.requests.AdmissionController
import boragering.core.requests.ClaimLedger
import boragering.core.requests.RequestExecutor
import boragering.core.requests.RequestPorts
import boragering.core.timeline.HybridClock
import boragering.core.timeline.TimelineBuffer
import boragering.core.timeline.TimelineEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates and connects the components of one daemon. [start] launches their background loops in [scope]. */
internal class Daemon(private val settings: Settings, secrets: Secrets, private val scope: CoroutineScope) {
    private val registry = MetricRegistry()
    private val clock = SystemClock
    private val random: Random = Random.Default
    private val client = HttpClients.create()
    private val self =
        Registration(
            daemon = DaemonId("${settings.name}-${UUID.randomUUID().toString().take(ID_SUFFIX_LENGTH)}"),
            peerAddress = settings.advertise.peers.toString(),
            operatorAddress = settings.advertise.operators.toString(),
            callerAddress = settings.advertise.callers.toString(),
            availabilityZone = settings.availabilityZone,
            region = settings.region,
        )
    private val hybridClock = HybridClock(self.daemon, clock)
    private val events = TimelineBuffer(hybridClock)
    private val timeline = LoggingTimeline(events)
    private val store =
        ObservedStore(EtcdStore(client, settings.platform.store, settings.platform.timeout), registry)
    private val peers: PeerStack =
        PeerStack(
            PeerStackSettings(
                self,
                PeerLinkSettings(settings.listen.peers.host, settings.listen.peers.port),
                secrets.peers.toByteArray(),
                settings.seeds.map { it.toString() },
            ),
            PeerStackPorts(store, clock, hybridClock, timeline, random, registry),
            onMessage = ::handlePeerMessage,
        )
    private val items = peers.items
    private val link = peers.link
    private val membership = peers.membership
    private val catalogue = CatalogueReplica(store, items, membership, timeline, random)
    private val divisions = DivisionReplica(items, timeline)
    private val divisionLoader = DivisionLoader(store, items)
    private val echoes = EchoTracker(clock)
    private val health =
        GroupHealth(
            membership,
            divisions,
            echoes,
            clock,
            HealthSettings(holdersPerGroup = settings.groups.holdersPerGroup),
        )
    private val controller =
        DomainController(
            ControllerPorts(
                store = store,
                liveList = HttpLiveList(client, settings.platform.liveList),
                targets = HttpTargets(client),
                items = items,
                link = link,
                timeline = timeline,
                clock = clock,
                stamp = hybridClock::issue,
            ),
            ControllerState(membership, catalogue, divisions, health, echoes),
            ControllerSettings(
                pollInterval = settings.groups.pollInterval,
                holdersPerGroup = settings.groups.holdersPerGroup,
                planning = PlanningSettings(loadsAtOnce = settings.groups.loadsAtOnce),
            ),
        )
    private val requestPorts =
        RequestPorts(
            store = store,
            calls = HttpTargetCalls(client, scope),
            directory = health,
            catalogue = catalogue,
            peers = membership,
            clock = clock,
            random = random,
            timeline = timeline,
            metrics = RequestCounters(registry),
        )
    private val claims = ClaimLedger(requestPorts, scope)
    private val admission = AdmissionController(requestPorts, settings.requests.selection)
    private val executor = RequestExecutor(requestPorts, claims, admission)
    private val gate = RequestGate(settings.limits.concurrentRequests) { ready }
    private val servers =
        DaemonServers(
            settings.listen,
            CallerServer(
                CallerAuthentication(catalogue),
                gate,
                AnswerWriter(executor),
                { RequestId(UUID.randomUUID().toString()) },
                settings.limits.requestBody,
            ),
            OperatorServer(operatorService(), OperatorAuthentication(secrets.operators), registry::prometheusText),
        )

    /** Whether the daemon has a catalogue and the divisions, which it needs to serve requests. */
    val ready: Boolean get() = catalogue.current() != null && divisionLoader.loaded

    /** Starts the connections to peers, the background loops and the HTTP servers. */
    suspend fun start() {
        peers.start(scope)
        addGauges()
        listOf<suspend () -> Unit>(
            { catalogue.run() },
            { divisionLoader.run() },
            { controller.run() },
            { admission.run() },
        ).forEach { loop -> scope.launch { loop() } }
        servers.start()
        timeline.record(TimelineEntry("daemon-started", "daemon ${self.daemon} listens at ${settings.listen.callers}"))
    }

    /**
     * Stops gracefully. The daemon stops reporting that it is ready and refuses new requests. Requests in progress can
     * finish until the drain time is over.
     */
    suspend fun stop() {
        timeline.record(TimelineEntry("daemon-draining", "${gate.count} requests in progress"))
        gate.close()
        executor.draining = true
        val finished =
            withTimeoutOrNull(settings.limits.drainTime) {
                while (gate.count > 0) delay(DRAIN_CHECK_INTERVAL)
            } != null
        claims.drain(CLAIM_DRAIN_TIME)
        timeline.record(TimelineEntry("daemon-stopped", if (finished) "all requests ended" else "drain time is over"))
        withTimeoutOrNull(LEAVE_TIME) { membership.leave() }
        servers.stop()
        link.close()
    }

    private fun operatorService(): DaemonOperatorService =
        DaemonOperatorService(
            OperatorSources(
                peers = membership,
                catalogue = catalogue,
                divisions = divisions,
                health = health,
                controller = controller,
                admission = admission,
                timeline = events,
                writer = CatalogueWriter(store, items, clock, random),
                store = store,
                gate = gate,
                ready = { ready },
            ),
        )

    private fun handlePeerMessage(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Echo -> echoes.received(from, message)
            is PeerMessage.GroupSummaries -> health.accept(from, message)
            else -> Unit
        }
    }

    private fun addGauges() {
        registry.gauge("boragering_requests_in_progress", "requests in the daemon") { gate.count }
        registry.gauge("boragering_catalogue_revision", "revision in force") { catalogue.current()?.revision ?: 0 }
        registry.gauge("boragering_live_daemons", "daemons held to be live") { membership.live.size }
        registry.gauge("boragering_whole_groups", "groups held by this daemon that can serve") {
            health.status().count { it.whole }
        }
        registry.gauge("boragering_store_reachable", "1 when the last call to the store was answered") {
            if (store.reachable) 1 else 0
        }
    }

    private companion object {
        const val ID_SUFFIX_LENGTH = 8
        val DRAIN_CHECK_INTERVAL = 50.milliseconds
        val CLAIM_DRAIN_TIME = 5.seconds
        val LEAVE_TIME = 3.seconds
    }
}
