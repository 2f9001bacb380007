package boragering.core.requests

import boragering.core.AnswerPart
import boragering.core.AvailabilityZone
import boragering.core.Bytes
import boragering.core.CallerRequest
import boragering.core.Candidate
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FakeStore
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Header
import boragering.core.OrganisationName
import boragering.core.RequestId
import boragering.core.RequestMetrics
import boragering.core.RequestResult
import boragering.core.TargetDirectory
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry
import boragering.core.catalogue.Organisation
import boragering.core.catalogue.RequestClass
import boragering.core.catalogue.RequestLength
import boragering.core.catalogue.RequestLimits
import boragering.core.catalogue.Route
import boragering.core.catalogue.ServiceEntry
import boragering.core.catalogue.Urgency
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val WALL_START = 1_800_000_000_000

/** Runs daemons that share a store and targets on virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class RequestTestHarness(
    private val scope: TestScope,
    entry: Entry,
    val seed: Int = 1,
    daemons: Int = 1,
    selection: ReplicaSelection = ReplicaSelection.PowerOfTwoChoices,
) {
    val store = FakeStore(scope.backgroundScope)
    val target = FakeTarget(scope.backgroundScope, stream = entry is ModelEntry)
    val directory = FakeDirectory(entry.name)
    val metrics = CountingMetrics()
    val timeline = ArrayList<TimelineEntry>()
    var catalogue: Catalogue? = catalogue(entry)
    var wallJump = Duration.ZERO
    val clock = object : Clock {
        override fun wallMilliseconds(): Long =
            WALL_START + scope.testScheduler.currentTime + wallJump.inWholeMilliseconds

        override fun monotonic(): Duration = scope.testScheduler.currentTime.milliseconds
    }
    private val registrations = List(daemons) { registration("daemon-$it") }
    val daemons = registrations.map { FakeDaemon(ports(it), selection) }
    private var requests = 0

    /** Sends [request] through the daemon with index [daemon] and waits until the request ends. */
    suspend fun send(
        request: CallerRequest,
        daemon: Int = 0,
        received: MutableList<AnswerPart> = ArrayList(),
    ): RequestResult = daemons[daemon].executor.serve(request) { received.add(it) }

    fun request(
        key: String? = null,
        organisation: String = "roofing",
        headers: List<Header> = emptyList(),
        outputTokens: Int? = null,
        body: String = "{}",
    ): CallerRequest {
        val entry = checkNotNull(catalogue).entries.values.first()
        return CallerRequest(
            id = RequestId("request-${++requests}"),
            organisation = OrganisationName(organisation),
            entry = entry.name,
            method = "POST",
            path = if (entry is ModelEntry) "/v1/chat/completions" else "/orders",
            headers = headers.toPersistentList(),
            body = Bytes.of(body),
            idempotencyKey = key,
            outputTokens = outputTokens,
        )
    }

    private fun ports(self: Registration) = RequestPorts(
        store = store,
        calls = target,
        directory = directory,
        catalogue = { catalogue },
        peers = object : Peers {
            override val self = self
            override val live: PersistentList<Registration> get() = registrations.toPersistentList()
        },
        clock = clock,
        random = Random(seed),
        timeline = { timeline.add(it) },
        metrics = metrics,
    )

    private fun registration(name: String) =
        Registration(DaemonId(name), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", AvailabilityZone("sapporo"), "dounai")

    /** The request handling of one daemon. */
    inner class FakeDaemon(val ports: RequestPorts, selection: ReplicaSelection) {
        val admission = AdmissionController(ports, selection)
        val ledger = ClaimLedger(ports, scope.backgroundScope)
        val executor = RequestExecutor(ports, ledger, admission)

        init {
            scope.backgroundScope.launch { admission.run() }
        }
    }

    companion object {
        fun service(limits: RequestLimits = limits()) = ServiceEntry(
            EntryName("orders-app"),
            "owner",
            "pool",
            RequestClass(Urgency.NORMAL, RequestLength.SHORT, repeatable = false),
            limits,
            24.hours,
            persistentListOf(Route("POST", "/orders", false), Route("GET", "/orders/{id}", true)),
        )

        fun model(limits: RequestLimits = limits(), length: RequestLength = RequestLength.MIXED) = ModelEntry(
            name = EntryName("kotoba-pool"),
            owner = "owner",
            pool = "pool",
            requestClass = RequestClass(Urgency.URGENT, length, repeatable = true),
            limits = limits,
            claimRetention = 24.hours,
            model = "kotoba-8b",
            modelVersion = "3",
            groupSize = 1,
            replicas = 2,
            enforcesFencing = true,
        )

        fun limits(
            concurrency: Int = 64,
            queueLength: Int = 64,
            queueTime: Duration = 2.seconds,
            deadline: Duration = 10.seconds,
            requestsPerSecond: Int = 1_000,
        ) = RequestLimits(concurrency, queueLength, queueTime, deadline, requestsPerSecond, outputTokens = 2048)

        private fun catalogue(entry: Entry): Catalogue {
            val organisations = listOf("roofing" to 1, "bridges" to 1, "large" to 1, "heavy" to 3)
                .map { (name, weight) -> Organisation(OrganisationName(name), "sha256:", weight) }
            return Catalogue(
                1,
                persistentHashMapOf<OrganisationName, Organisation>().putAll(organisations.associateBy { it.name }),
                persistentHashMapOf(entry.name to entry),
            )
        }
    }
}

/** A directory with the targets that the test sets. */
class FakeDirectory(private val entry: EntryName) : TargetDirectory {
    var targets = listOf("a", "b").map { candidate(it) }
    val leaving = ArrayList<GroupId>()

    /** Age of the reports in [targets]. */
    var age: () -> Duration = { Duration.ZERO }
    var usable: (Candidate) -> Boolean = { true }

    override fun candidates(entry: EntryName): PersistentList<Candidate> =
        targets.filter { entry == this.entry && it.group !in leaving }.map { it.copy(reportAge = age()) }
            .toPersistentList()

    override fun usable(candidate: Candidate): Boolean = usable.invoke(candidate) && candidate.group !in leaving

    override fun reportLeaving(group: GroupId, fence: Fence) {
        leaving.add(group)
    }

    companion object {
        fun candidate(name: String, slots: Int = 8) =
            Candidate(GroupId(name), Fence(7), "$name:80", running = 0, queued = 0, slots = slots, Duration.ZERO)
    }
}

/** Counts the metrics that tests check. */
class CountingMetrics : RequestMetrics {
    var foreignParts = 0
    var retries = 0
    val ejected = ArrayList<GroupId>()

    override fun retried(entry: EntryName) {
        retries++
    }

    override fun foreignPart(entry: EntryName, group: GroupId) {
        foreignParts++
    }

    override fun ejected(entry: EntryName, group: GroupId) {
        ejected.add(group)
    }
}
