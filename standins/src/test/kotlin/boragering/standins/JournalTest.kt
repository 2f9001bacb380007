package boragering.standins

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.appendText

class JournalTest : DescribeSpec({
    describe("a journal") {
        it("gives the same record as the control interface, also after a partial last line") {
            withStandIns {
                val file = tempfile().toPath()
                val service = start(service(file)::serve)
                post(service, "/orders", "spikes")
                put(service, "/control/faults", ServiceFaults(refuse = 1))
                post(service, "/orders", "spikes")
                file.appendText("{\"instance\":\"s-0\",")

                readServiceJournal(file) shouldBe listOf(read<ServiceRecord>(service, "/control/record"))
            }
        }

        it("keeps an earlier incarnation's runs apart") {
            withStandIns {
                val file = tempfile().toPath()
                listOf("first", "second").forEach { post(start(service(file, it)::serve), "/orders", it) }

                readServiceJournal(file).map { it.incarnation to it.requests.size } shouldBe
                    listOf("first" to 1, "second" to 1)
            }
        }
    }
})

private fun service(file: Path, incarnation: String = "first") =
    ServiceStandIn("s-0", incarnation, ServiceOptions(), OrderBook(Journal("$file")))
