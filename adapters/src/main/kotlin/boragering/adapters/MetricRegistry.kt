package boragering.adapters

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** The daemon's metrics. Times are in seconds. */
class MetricRegistry {
    private val registry = PrometheusRegistry()

    /** Adds a metric whose value is read at each scrape. */
    fun gauge(name: String, help: String, value: () -> Number) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Adds a distribution of times for each entry. */
    fun durationHistogram(name: String, help: String): Histogram =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .labelNames("entry")
            .withoutExemplars()
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_BUCKET_BOUND_SECONDS, BUCKET_BOUND_FACTOR, BUCKET_BOUND_COUNT)
            .register(registry)

    /** Adds a counter that [configure] names and labels. */
    fun counter(configure: Counter.Builder.() -> Unit): Counter =
        Counter.builder().withoutExemplars().apply(configure).register(registry)

    /** All metrics in the Prometheus text format. */
    fun prometheusText(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private companion object {
        /** Bounds from 5 ms to 82 s, each twice the one before. */
        const val FIRST_BUCKET_BOUND_SECONDS = 0.005
        const val BUCKET_BOUND_FACTOR = 2.0
        const val BUCKET_BOUND_COUNT = 15
    }
}
