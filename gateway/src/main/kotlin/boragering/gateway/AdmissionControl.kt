package boragering.gateway

import boragering.core.OrganisationName
import boragering.core.membership.LaneCounts
import boragering.fleet.AdmissionLane
import boragering.fleet.CallerAttempt
import boragering.fleet.CallerReturns
import boragering.fleet.ModelName
import boragering.fleet.OrganisationCount
import boragering.fleet.ServiceName
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds

/** What gateways tell each other of the demand for capacity that is short. Used on the event loop only. */
interface AdmissionReports {
    /** The counts of this gateway, with [limit] organisations at most; empty if no capacity is shared by urgency. */
    fun counts(limit: Int): List<LaneCounts>

    /** Handles the counts of the gateway [from]. */
    fun onPeerCounts(from: String, counts: List<LaneCounts>)
}

/**
 * The admission of requests to services to which routes of different priority lead, for each service and model. Wakes
 * the waiting requests when capacity may have become free. Used on the event loop only.
 */
internal class AdmissionControl(private val state: GatewayState) : AdmissionReports {
    private data class LaneKey(val service: ServiceName, val model: ModelName?)

    private val lanes = HashMap<LaneKey, AdmissionLane>()
    private val callerReturns = CallerReturns()
    private var wakeScheduled = false
    private var timerRuns = false

    /** Number of waiting requests. */
    val waiting: Int get() = lanes.values.sumOf { it.waiting }

    /** The lane of [routed]; `null` if its service's capacity is not shared by urgency or its model is unknown. */
    fun lane(routed: RoutedRequest): AdmissionLane? {
        if (state.routes?.prioritises(routed.service.name) != true) return null
        val models = routed.service.engine?.models.orEmpty()
        val model = routed.model.takeIf { models.isNotEmpty() }
        val key = LaneKey(routed.service.name, model).takeIf { model == null || model in models }
        return key?.let { lanes.getOrPut(it) { AdmissionLane(state.ports.random) } }
    }

    /** What the time that the caller of [routed] has left tells of its earlier attempts. */
    fun classify(routed: RoutedRequest): CallerAttempt {
        // A resumed stream is not a repeated attempt.
        val resumes = routed.lastEventId != null
        val timeLeftKnown = routed.received.headers.contains(state.headerNames.deadlineRemaining)
        if (resumes || !timeLeftKnown) return CallerAttempt.First
        return callerReturns.classify(routed.route, routed.deadline - routed.arrivedAt, state.now())
    }

    /** Called when a request has begun to wait. */
    fun onQueued() {
        if (timerRuns) return
        timerRuns = true
        state.ports.loop.after(WAKE_INTERVAL, ::onTimer)
    }

    /** Called when capacity may have become free; wakes the waiting requests once in a turn of the loop. */
    fun onCapacityChange() {
        if (wakeScheduled || !timerRuns) return
        wakeScheduled = true
        state.ports.loop.execute {
            wakeScheduled = false
            wake()
        }
    }

    /** Removes the lanes of services and models that are no longer configured, once nobody waits in them. */
    fun onConfigured() {
        val services = state.routes?.services.orEmpty().associateBy { it.name }
        lanes.entries.removeIf { (key, lane) ->
            val service = services[key.service]
            val configured = service != null && (key.model == null || key.model in service.engine?.models.orEmpty())
            !configured && lane.waiting == 0
        }
    }

    override fun counts(limit: Int): List<LaneCounts> {
        if (lanes.isEmpty()) return emptyList()
        val now = state.now()
        return lanes.map { (key, lane) ->
            lane.demand.shares.peers.expire(now)
            val counts = lane.demand.shares.ownCounts(limit / lanes.size, now)
            LaneCounts(
                service = key.service.value,
                model = key.model?.value,
                shortRank = lane.demand.headroom.lowestShortage(now),
                organisations = counts.map { it.organisation.value },
                asked = counts.map { (it.asked * COUNT_SCALE).roundToInt() },
                served = counts.map { (it.served * COUNT_SCALE).roundToInt() },
            )
        }
    }

    override fun onPeerCounts(from: String, counts: List<LaneCounts>) = counts.forEach { received ->
        val lane = lanes[LaneKey(ServiceName(received.service), received.model?.let(::ModelName))]
        lane?.demand?.shares?.peers?.update(from, decode(received), state.now())
        received.shortRank?.let { lane?.demand?.headroom?.recordPeerShortage(it, state.now()) }
    }

    private fun decode(received: LaneCounts): List<OrganisationCount> =
        received.organisations.zip(received.asked.zip(received.served)) { name, (asked, served) ->
            OrganisationCount(OrganisationName(name), asked / COUNT_SCALE, served / COUNT_SCALE)
        }

    private fun onTimer() {
        try {
            wake()
        } finally {
            timerRuns = waiting > 0
            if (timerRuns) state.ports.loop.after(WAKE_INTERVAL, ::onTimer)
        }
    }

    private fun wake() {
        val now = state.now()
        // The end of a wait can let the next request of the same connection begin, which may add a lane.
        lanes.values.toList().forEach { if (it.waiting > 0) it.wake(now) }
    }

    private companion object {
        /** Interval at which waiting requests are checked; short against the waits that target latencies allow. */
        val WAKE_INTERVAL = 20.milliseconds

        /** Counts are sent in tenths of requests, since a gateway can get less than one request per second. */
        const val COUNT_SCALE = 10.0
    }
}
