package boragering.scenarios

import kotlinx.coroutines.runBlocking
import java.io.IOException
import kotlin.system.exitProcess

/** Runs the demo; exit code 0 when every step went as it should, otherwise 1 with the reason. */
fun main() {
    System.setProperty("log4j2.configurationFile", "standins-log4j2.xml")
    val failure = try {
        runBlocking { DemoPlan.plan.runPlatform { Demo(this, System.out).run() } }
        null
    } catch (failed: IllegalStateException) {
        failed
    } catch (failed: IOException) {
        failed
    }
    if (failure != null) System.err.println("\nThe demo failed: ${failure.message ?: failure}")
    exitProcess(if (failure == null) 0 else 1)
}
