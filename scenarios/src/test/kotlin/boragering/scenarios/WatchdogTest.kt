package boragering.scenarios

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Without the watchdog, daemons outlive a driver that is killed. */
class WatchdogTest : DescribeSpec({
    fun waiting(directory: Path): Process = ProcessBuilder("sh", "-c", "read -r line", "$directory").start()

    describe("a watchdog whose standard input ends") {
        it("kills the children that belong to its directory, and no process that has got a child's id") {
            val directory = tempdir().toPath()
            val own = waiting(directory.resolve("settings.json"))
            val foreign = waiting(Path.of("/elsewhere"))
            try {
                val watchdog = Watchdog(directory)
                listOf(own, foreign).forEach { watchdog.guard(it.pid()) }
                watchdog.parentEnds()

                own.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                foreign.isAlive shouldBe true
            } finally {
                listOf(own, foreign).forEach { it.destroyForcibly() }
            }
        }
    }

    describe("a closed watchdog") {
        it("kills nothing") {
            val directory = tempdir().toPath()
            val child = waiting(directory)
            try {
                Watchdog(directory).apply { guard(child.pid()) }.close()

                child.isAlive shouldBe true
            } finally {
                child.destroyForcibly()
            }
        }
    }
})

private const val LIMIT_SECONDS = 20L
