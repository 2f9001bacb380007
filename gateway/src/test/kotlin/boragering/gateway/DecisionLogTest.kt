package boragering.gateway

import boragering.adapters.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.string.shouldEndWith

class DecisionLogTest : DescribeSpec({
    it("shortens long values (guards against lines that exhaust the heap while nobody reads them)") {
        RecordedLog().use { recorded ->
            DecisionLog(SystemClock).event("attempt-failed", "reason" to "x".repeat(1_000_000))
            val reason = recorded.lines("attempt-failed").single().getValue("reason")
            reason.length shouldBeLessThan 3_000
            reason shouldEndWith "xxx…"
        }
    }
})
