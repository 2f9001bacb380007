package boragering.load

import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One run as the page shows it. */
internal class PageRun(val summary: LoadSummary, val samples: List<Sample>)

/** Writes runs as one HTML page that needs no other file; each picture shows first-token times over the run. */
internal class LoadPage(private val workload: Workload, private val runs: List<PageRun>) {
    private val length = workload.phases.sumOf { it.seconds }.seconds

    /** The whole page. */
    fun html(): String = buildString {
        append(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>${escape(workload.name)}</title>"
        )
        append("<style>body{font-family:sans-serif;margin:2em}svg{background:#f6f6f6}</style></head>\n<body>")
        append("<h1>${escape(workload.name)}</h1>\n<p>${escape(workload.description)} ${escape(workload.scale)}</p>\n")
        runs.forEach { append(section(it)) }
        append("</body></html>\n")
    }

    private fun section(run: PageRun): String =
        "<h2>${escape(run.summary.selection)}</h2>\n<pre>${escape(table(run.summary))}</pre>\n${picture(run)}\n" +
            "<p>Blue: short requests. Orange: long ones. Red, at the top: no whole answer. " +
            "Horizontal line: 820 ms. Picture height: ${HIGHEST.inWholeMilliseconds} ms. Width: $length.</p>\n"

    private fun picture(run: PageRun): String = buildString {
        append("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 $WIDTH $HEIGHT\" role=\"img\" ")
        append("aria-label=\"first-token times over the run\">\n")
        val target = y(TARGET)
        append("<line x1=\"0\" x2=\"$WIDTH\" y1=\"$target\" y2=\"$target\" stroke=\"#888\"/>\n")
        run.samples.forEach { append(point(it)) }
        append("</svg>")
    }

    private fun point(sample: Sample): String {
        val color = if (!sample.complete) "#c00" else if (sample.arrival.long) "#e80" else "#06c"
        val height = if (sample.complete) y(sample.firstToken ?: HIGHEST) else "0.0"
        val x = number(sample.arrival.at / length * WIDTH)
        return "<circle cx=\"$x\" cy=\"$height\" r=\"2\" fill=\"$color\"/>\n"
    }

    private fun y(time: Duration): String = number(HEIGHT * (1 - minOf(time / HIGHEST, 1.0)))

    private fun number(value: Double): String = "%.1f".format(Locale.ROOT, value)

    private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

    private companion object {
        const val WIDTH = 1000
        const val HEIGHT = 300
        val HIGHEST = 2.seconds
        val TARGET = 820.milliseconds
    }
}
