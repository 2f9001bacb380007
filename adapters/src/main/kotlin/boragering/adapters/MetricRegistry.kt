package boragering.adapters

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Registry of the metrics of a process. Durations are in seconds. */
class MetricRegistry {
    private val registry = PrometheusRegistry()

    /** Registers a gauge whose [value] is called at each scrape. */
    fun gauge(name: String, help: String, value: () -> Number) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Registers a histogram of durations in seconds, labelled by catalogue entry. */
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

    /** Registers a counter. [configure] sets its name, help text and labels. */
    fun counter(configure: Counter.Builder.() -> Unit): Counter =
        Counter.builder().withoutExemplars().apply(configure).register(registry)

    /** Returns all metrics in the Prometheus text format. */
    fun prometheusText(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private companion object {
        /** The buckets have upper bounds from 5 ms to 82 s; each bound is twice the previous one. */
        const val FIRST_BUCKET_BOUND_SECONDS = 0.005
        const val BUCKET_BOUND_FACTOR = 2.0
        const val BUCKET_BOUND_COUNT = 15
    }
}
