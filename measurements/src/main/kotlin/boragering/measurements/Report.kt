package boragering.measurements

import kotlinx.serialization.json.Json
import java.util.Locale

/** The text forms of an [Outcome]. */
object Report {
    /** Names of the output formats. */
    val FORMATS = setOf("json", "table")

    private val format = Json { prettyPrint = true }

    /** All points and fits as JSON. */
    fun json(outcome: Outcome): String = format.encodeToString(outcome)

    /** One line for each series, followed by one for each size. */
    fun table(outcome: Outcome): String = buildString {
        appendLine("${outcome.command} at commit ${outcome.commit}")
        outcome.series.forEach { series ->
            val fit = series.fit
            appendLine("${series.name} [${series.unit}] against ${series.per}")
            appendLine("  slope ${text(fit.slope)}  intercept ${text(fit.intercept)}  residual ${text(fit.residual)}")
            series.points.forEach { point ->
                appendLine("  ${point.size}: ${text(point.median)}  spread ${text(point.spreadPercent)} %")
            }
        }
    }

    private fun text(value: Double) = String.format(Locale.ROOT, "%.5g", value)
}
