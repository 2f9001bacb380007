package boragering.measurements

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class SeriesTest : DescribeSpec({
    describe("a fit") {
        it("finds a line and its residual (guards against wrong slopes on the capacity page)") {
            val fit = Fit.of(
                listOf(1 to 5.0, 2 to 7.0, 3 to 9.0).map { (size, value) -> Point.of(size, listOf(value)) }
            )
            fit.slope shouldBe (2.0 plusOrMinus TOLERANCE)
            fit.intercept shouldBe (3.0 plusOrMinus TOLERANCE)
            fit.residual shouldBe (0.0 plusOrMinus TOLERANCE)
        }

        it("refuses a single size (guards against a slope of infinity)") {
            shouldThrow<IllegalArgumentException> { Fit.of(listOf(Point.of(1, listOf(1.0)))) }
        }
    }

    describe("a point") {
        it("keeps median and spread (guards against one slow repetition that moves the value)") {
            val point = Point.of(1, listOf(10.0, 50.0, 9.0))
            point.median shouldBe 10.0
            point.spreadPercent shouldBe (410.0 plusOrMinus TOLERANCE)
        }
    }
}) {
    private companion object {
        const val TOLERANCE = 1e-9
    }
}
