package boragering.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class LoadPageTest : DescribeSpec({
    describe("the page of a run") {
        val workload = Workload.read(Path.of("workloads/kitaspike.json")).copy(description = "a < b")
        val samples = Schedule(workload).arrivals().map { Sample(it, 60.milliseconds, 300.milliseconds, 200, true) }
        val summary = LoadSummary.of(workload, "random", RunResult(samples, Duration.ZERO))
        val page = LoadPage(workload, listOf(PageRun(summary, samples))).html()

        // Guards against a picture that leaves out requests.
        it("has one point for each request") {
            page.split("<circle ").size - 1 shouldBe samples.size
        }

        // Guards against a page that shows nothing where there is no network.
        it("refers to no other file") {
            page shouldNotContain "src="
            page shouldNotContain "href="
        }

        // Guards against text of a workload file that is taken for markup.
        it("escapes text") {
            page shouldContain "a &lt; b"
        }
    }
})
