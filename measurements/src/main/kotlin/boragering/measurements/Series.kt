package boragering.measurements

import kotlinx.serialization.Serializable
import org.apache.commons.math3.stat.regression.SimpleRegression
import kotlin.math.sqrt

/** The repetitions of one measurement at one size. */
@Serializable
data class Point(val size: Int, val lowest: Double, val median: Double, val highest: Double) {
    /** Difference between the highest and the lowest value, in percent of the median. */
    val spreadPercent: Double get() = if (median == 0.0) 0.0 else (highest - lowest) / median * PERCENT

    companion object {
        private const val PERCENT = 100

        /** The point for the [values] of all repetitions. */
        fun of(size: Int, values: List<Double>): Point {
            val sorted = values.sorted()
            return Point(size, sorted.first(), sorted[sorted.size / 2], sorted.last())
        }
    }
}

/** A straight line through points; [residual] is the root of the mean squared difference, in the unit of the values. */
@Serializable
data class Fit(val slope: Double, val intercept: Double, val residual: Double) {
    companion object {
        /**
         * The least-squares line through the medians of [points].
         *
         * @throws IllegalArgumentException when there are fewer than two different sizes.
         */
        fun of(points: List<Point>): Fit {
            require(points.distinctBy { it.size }.size > 1) { "a line needs two different sizes" }
            val line = SimpleRegression()
            points.forEach { line.addData(it.size.toDouble(), it.median) }
            return Fit(line.slope, line.intercept, sqrt(line.sumSquaredErrors / points.size))
        }
    }
}

/** One quantity, in [unit], against the number of [per]. */
@Serializable
data class Series(val name: String, val unit: String, val per: String, val points: List<Point>, val fit: Fit) {
    companion object {
        /** Measures each of [sizes]. */
        fun measure(
            name: String,
            unit: String,
            per: String,
            sizes: List<Int>,
            values: (Int) -> List<Double>,
        ): Series {
            val points = sizes.map { Point.of(it, values(it)) }
            return Series(name, unit, per, points, Fit.of(points))
        }
    }
}

/** The output of one subcommand. */
@Serializable
data class Outcome(val command: String, val commit: String, val series: List<Series>)
