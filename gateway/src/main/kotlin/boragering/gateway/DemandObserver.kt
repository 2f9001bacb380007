package boragering.gateway

import boragering.fleet.Candidate
import boragering.fleet.EngineProfile
import boragering.fleet.LoadEstimate
import boragering.fleet.ModelDemand
import boragering.fleet.ModelLoad
import boragering.fleet.ModelName
import boragering.fleet.ModelTraffic
import boragering.fleet.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The demand for the models of each service, as a gateway observes it. Used on the event loop only. */
interface PoolDemand {
    /** The profile [engine] of [service] with the models' shares that the demand needs. */
    fun applyTo(service: ServiceName, engine: EngineProfile): EngineProfile

    /** Whether the demand for the models of [service] is known. */
    fun known(service: ServiceName): Boolean

    /** The models of [service] whose callers are rejected, each with the number of groups that its demand fills. */
    fun shortages(service: ServiceName): Map<ModelName, Double>
}

/**
 * Observes the demand for the models of each service from the loads that their targets report and from the requests for
 * which this gateway found no capacity. Every gateway does so, because any of them may become the planner, which needs
 * to know the demand at once. Used on the event loop only.
 */
internal class DemandObserver(private val state: GatewayState) : PoolDemand {
    private data class ServedModel(val service: ServiceName, val model: ModelName)

    private val demands = HashMap<ServiceName, ModelDemand>()
    private val traffic = HashMap<ServedModel, ModelTraffic>()

    /** Records that [routed] was sent to its first target. */
    fun onSent(routed: RoutedRequest) {
        traffic(routed)?.recordSent(state.now())
    }

    /** Records that [routed] was rejected, because no target had capacity or there was none. */
    fun onUnserved(routed: RoutedRequest) {
        traffic(routed)?.recordUnserved(state.now())
    }

    /** Records that a target has answered [routed], to which it was sent at [sentAt]. */
    fun onAnswered(routed: RoutedRequest, sentAt: Duration) {
        traffic(routed)?.recordAnswered(state.now() - sentAt)
    }

    /** Records the present demand. */
    fun observe() {
        val now = state.now()
        val services = state.routes?.services.orEmpty()
        val models = services.associate { it.name to it.engine?.models.orEmpty() }
        demands.keys.retainAll { models[it].orEmpty().size > 1 }
        traffic.keys.retainAll { it.model in models[it.service].orEmpty() }
        services.forEach { service ->
            val engine = service.engine?.takeIf { it.models.size > 1 } ?: return@forEach
            demands.getOrPut(service.name) { ModelDemand() }.record(engine, loads(service.name, engine, now), now)
        }
    }

    override fun applyTo(service: ServiceName, engine: EngineProfile): EngineProfile =
        demands[service]?.apply(engine, state.now()) ?: engine

    override fun known(service: ServiceName): Boolean = demands[service]?.known(state.now()) ?: false

    override fun shortages(service: ServiceName): Map<ModelName, Double> =
        demands[service]?.shortages(state.now()).orEmpty()

    private fun traffic(routed: RoutedRequest): ModelTraffic? {
        val models = routed.service.engine?.models.orEmpty()
        val model = routed.model?.takeIf { models.size > 1 && it in models }
        return model?.let { traffic.getOrPut(ServedModel(routed.service.name, it)) { ModelTraffic() } }
    }

    private fun loads(service: ServiceName, engine: EngineProfile, now: Duration): Map<ModelName, ModelLoad> {
        val gateways = state.ports.gatewayCount()
        return engine.models.keys.associateWith { model ->
            val targets = state.targets.targets(service, model).filter { it.model == model }
            val candidates = targets.map { Candidate(it, state.usages.of(it).load) }
            val estimate = LoadEstimate(candidates, gateways, now)
            val inProgress = candidates.sumOf(estimate::requests)
            val observed = traffic[ServedModel(service, model)]
            val unservedShare = observed?.unservedShare(now) ?: 0.0
            // What targets report shows only the requests that found capacity.
            val offered = observed?.offered(now)?.takeIf { unservedShare > 0 }?.let { it * gateways } ?: 0.0
            ModelLoad(maxOf(inProgress, offered), unservedShare)
        }
    }

    companion object {
        /** Interval between two observations. */
        val INTERVAL = 1.seconds
    }
}
