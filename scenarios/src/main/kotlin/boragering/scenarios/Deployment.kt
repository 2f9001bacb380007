package boragering.scenarios

import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.ApplyResult
import boragering.standins.tokenHash
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.nio.file.Path
import java.util.UUID

/** A running deployment; its processes end with the scenario, and at the latest with this process. */
class Deployment internal constructor(
    /** What was started. */
    val plan: DeploymentPlan,
    /** Where logs, journals and settings are. */
    val directory: Path,
    private val launcher: Launcher,
    private val secrets: Secrets,
    private val parts: DeploymentParts,
) {
    private val calls = CallHistory()

    /** The key-value service. */
    val store: StoreHandle get() = parts.store

    /** The live list. */
    val liveList: LiveListHandle get() = parts.liveList

    /** The proxy; its links are those of the plan, and more can be added. */
    val proxy: ProxyHandle get() = parts.proxy

    /** All engines, in the order of the plan. */
    val engines: List<EngineHandle> get() = parts.instances.filterIsInstance<EngineHandle>()

    /** All instances of plain services, in the order of the plan. */
    val services: List<ServiceHandle> get() = parts.instances.filterIsInstance<ServiceHandle>()

    /** All daemons, in the order of the plan. */
    val daemons: List<DaemonHandle> get() = parts.daemons

    /** Runs `boragerctl` against all daemons. */
    val operator: Operator
        get() = Operator(launcher, secrets.operators.file, daemons.map { it.operators.address })

    /** The processes that were started, in order. */
    val processes: List<ChildProcess> get() = launcher.processes.all

    /** The engine with [id]. */
    fun engine(id: String): EngineHandle = engines.first { it.id == id }

    /** A caller of [organisation] at [daemon]. */
    fun caller(daemon: DaemonHandle, organisation: String = plan.organisations.first()): Caller =
        Caller(launcher.client.http, daemon.callers, secrets.organisations.getValue(organisation).value, calls)

    /** The token that callers of [organisation] present. */
    fun token(organisation: String): String = secrets.organisations.getValue(organisation).value

    /** The catalogue of the plan, with [entries] instead of the plan's. */
    fun catalogue(entries: List<EntryDocument> = plan.entries): String {
        val organisations = secrets.organisations.map { (name, token) ->
            OrganisationDocument(name, tokenHash(token.file))
        }
        return scenarioJson.encodeToString(CatalogueDocument(organisations, entries))
    }

    /** Starts all daemons and waits until they are live. */
    suspend fun startDaemons() {
        daemons.forEach { it.start() }
        daemons.forEach { it.awaitLive() }
    }

    /** Applies the plan's catalogue as the first one and waits until all daemons are ready. */
    suspend fun applyCatalogue() {
        val request = ApplyRequest(UUID.randomUUID().toString(), "scenarios", 0, catalogue())
        await("the first catalogue is accepted") { accept(daemons.first().operators.apply(request)) }
        daemons.forEach { it.awaitReady() }
    }

    private fun accept(answer: ApplyAnswer): ApplyAnswer? = when (answer.result) {
        ApplyResult.ACCEPTED -> answer
        // The same token is sent again, so that a change which was written after all is not applied twice.
        ApplyResult.UNAVAILABLE, ApplyResult.UNKNOWN -> null
        ApplyResult.CONFLICT, ApplyResult.INVALID -> error("the first catalogue was not accepted: $answer")
    }

    /** What the stand-ins and the callers have recorded so far, for the checks. */
    suspend fun evidence() = Evidence(
        engines.flatMap { it.records() },
        services.flatMap { it.records() },
        store.record(),
        calls.all,
        parts.absences.all,
    )
}

/** The running parts of a deployment. */
internal class DeploymentParts(
    val store: StoreHandle,
    val liveList: LiveListHandle,
    val proxy: ProxyHandle,
    val instances: List<InstanceHandle>,
    val daemons: List<DaemonHandle>,
    val absences: AbsenceLog,
)

/** Starts the parts of [plan], daemons excepted. */
internal class DeploymentStart(
    private val plan: DeploymentPlan,
    private val directory: Path,
    private val launcher: Launcher,
) {
    private val secrets = Secrets(directory, plan.organisations)
    private val absences = AbsenceLog()

    suspend fun run(): Deployment = coroutineScope {
        val proxy = async { ProxyHandle(launcher.client, standIn("proxy")) }
        val store = async { StoreHandle(launcher.client, standIn("store")) }
        val liveList = async {
            LiveListHandle(launcher.client, standIn("live-list", "--lag", plan.liveListLag.withUnit()))
        }
        val instances = plan.pools.map { async { pool(it, proxy.await()) } }.awaitAll().flatten()
        instances.forEach { liveList.await().add(it) }
        val daemons = DaemonPreparation(plan, directory, launcher, secrets)
            .prepare(proxy.await(), store.await(), liveList.await())
        val parts = DeploymentParts(store.await(), liveList.await(), proxy.await(), instances, daemons, absences)
        Deployment(plan, directory, launcher, secrets, parts)
    }

    private suspend fun standIn(kind: String, vararg arguments: String) =
        StandInProcess.start(launcher, kind, kind, arguments.toList())

    private suspend fun pool(pool: InstancePool, proxy: ProxyHandle): List<InstanceHandle> = coroutineScope {
        if (pool.sharedProcess) {
            val prefix = pool.instanceId(0).removeSuffix("-0")
            val journal = directory.resolve("$prefix.journal")
            val standIn = process(pool, if (pool.count == 1) pool.instanceId(0) else prefix, journal, pool.count)
            List(pool.count) { instance(pool, it, InstancePlace(launcher, standIn, it, journal, absences), proxy) }
        } else {
            List(pool.count) { index ->
                async {
                    val id = pool.instanceId(index)
                    val journal = directory.resolve("$id.journal")
                    val place = InstancePlace(launcher, process(pool, id, journal, 1), 0, journal, absences)
                    instance(pool, index, place, proxy)
                }
            }.awaitAll()
        }
    }

    private suspend fun process(pool: InstancePool, id: String, journal: Path, count: Int): StandInProcess {
        val options = pool.options.flatMap { (name, value) -> listOf("--$name", value) }
        val arguments = listOf("--id", id, "--count", "$count", "--journal", "$journal") + options
        return StandInProcess.start(launcher, id, pool.kind.commandName, arguments, count)
    }

    private suspend fun instance(
        pool: InstancePool,
        index: Int,
        place: InstancePlace,
        proxy: ProxyHandle,
    ): InstanceHandle {
        val id = pool.instanceId(index)
        val link = if (pool.proxied) proxy.link(place.standIn.addresses[place.index]) else null
        return when (pool.kind) {
            InstanceKind.ENGINE -> EngineHandle(id, pool, link, place)
            InstanceKind.SERVICE -> ServiceHandle(id, pool, link, place)
        }
    }
}
