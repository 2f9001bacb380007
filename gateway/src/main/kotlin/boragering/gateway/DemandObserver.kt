package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.EngineProfile
import boragering.fleet.LoadEstimate
import boragering.fleet.ModelDemand
import boragering.fleet.ModelName
import boragering.fleet.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The demand for the models of each service, as a gateway observes it. Used on the event loop only. */
interface PoolDemand {
    /** The profile [engine] of [service] with the models' shares that the demand needs. */
    fun applyTo(service: ServiceName, engine: EngineProfile): EngineProfile

    /** Whether the demand for the models of [service] is known. */
    fun known(service: ServiceName): Boolean
}

/**
 * Observes the demand for the models of each service from the loads that their targets report. Every gateway does so,
 * because any of them may become the planner, which needs to know the demand at once. Used on the event loop only.
 */
internal class DemandObserver(private val state: GatewayState) : PoolDemand {
    private val demands = HashMap<ServiceName, ModelDemand>()

    /** Records the present demand. */
    fun observe() {
        val now = state.now()
        val services = state.routes?.services.orEmpty()
        demands.keys.retainAll(services.mapTo(HashSet()) { it.name })
        services.forEach { service ->
            val engine = service.engine?.takeIf { it.models.size > 1 } ?: return@forEach
            demands.getOrPut(service.name) { ModelDemand() }.record(engine, requests(service.name, engine, now), now)
        }
    }

    override fun applyTo(service: ServiceName, engine: EngineProfile): EngineProfile =
        demands[service]?.apply(engine, state.now()) ?: engine

    override fun known(service: ServiceName): Boolean = demands[service]?.known(state.now()) ?: false

    private fun requests(service: ServiceName, engine: EngineProfile, now: Duration): Map<ModelName, Double> {
        val gateways = state.ports.gatewayCount()
        return engine.models.keys.associateWith { model ->
            val targets = state.targets.targets(service, model).filter { it.model == model }
            val candidates = targets.map { Candidate(it, state.usages.of(it).load) }
            val estimate = LoadEstimate(candidates, gateways, now)
            candidates.sumOf(estimate::requests)
        }
    }

    companion object {
        /** Interval between two observations. */
        val INTERVAL = 1.seconds
    }
}
