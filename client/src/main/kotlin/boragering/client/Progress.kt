package boragering.client

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.PrintStream
import kotlin.time.Duration.Companion.seconds

/** Tells the operator on standard error what the program waits for when that takes over a second. */
internal class Progress(private val err: PrintStream) {
    /** Runs [block]; [describe] says what it is waiting for. */
    suspend fun <T> during(describe: () -> String, block: suspend () -> T): T = coroutineScope {
        val reporter = launch {
            delay(FIRST)
            while (true) {
                err.println("boragerctl: ${printable(describe())}")
                delay(INTERVAL)
            }
        }
        try {
            block()
        } finally {
            reporter.cancel()
        }
    }

    private companion object {
        val FIRST = 1.seconds
        val INTERVAL = 5.seconds
    }
}
