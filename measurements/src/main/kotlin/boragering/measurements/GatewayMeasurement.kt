package boragering.measurements

/**
 * Processor time and allocations of a gateway's event loop for streams of events: first from the start of the process,
 * while code is interpreted, then after the warm-up.
 */
class GatewayMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> = GatewayDriver().use { driver ->
        val sinceStart = sinceStart(driver)
        driver.requests(WARM_UP_REQUESTS, USUAL_EVENTS)
        val costs = EVENTS.associateWith { events -> probe.repeated { driver.requests(REQUESTS, events) } }
        listOf(
            sinceStart,
            Series.measure("event loop, one request, warm", "µs", "events of its stream", EVENTS) { events ->
                costs.getValue(events).map { it.microseconds / REQUESTS }
            },
            Series.measure("event loop, one request, warm", "bytes allocated", "events of its stream", EVENTS) {
                costs.getValue(it).map { cost -> cost.bytes / REQUESTS }
            },
        )
    }

    private fun sinceStart(driver: GatewayDriver): Series {
        var requests = 0
        var microseconds = 0.0
        return Series.measure("event loop, since the start", "µs", "requests of 28 events", FIRST_REQUESTS) { total ->
            microseconds += driver.requests(total - requests, USUAL_EVENTS).microseconds
            requests = total
            listOf(microseconds)
        }
    }

    private companion object {
        /** Events of a usual stream. */
        const val USUAL_EVENTS = 28
        const val WARM_UP_REQUESTS = 1_500
        const val REQUESTS = 200
        val EVENTS = listOf(1, 28, 112)
        val FIRST_REQUESTS = listOf(5, 25, 50, 100, 200)
    }
}
