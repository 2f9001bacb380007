package boragering.measurements

import java.lang.management.ManagementFactory
import java.lang.ref.Reference

/** Measures processor time of the calling thread and retained heap. */
class Probe(private val repetitions: Int) {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Keeps results of the measured code, so that the compiler cannot remove it. */
    @Volatile
    private var sink: Any? = null

    /**
     * Microseconds of the thread's processor time for one call of [action], one value for each repetition. Each
     * repetition lasts at least 20 ms, since the operating system counts the time in steps.
     */
    fun microseconds(action: () -> Any?): List<Double> {
        val warm = System.nanoTime() + WARM_UP_NANOSECONDS
        var calls = 0
        val began = threads.currentThreadCpuTime
        while (calls < MINIMUM_CALLS || System.nanoTime() < warm) {
            sink = action()
            calls++
        }
        val each = (threads.currentThreadCpuTime - began) / calls
        val batch = (REPETITION_NANOSECONDS / each.coerceAtLeast(1)).coerceIn(1, MAXIMUM_CALLS).toInt()
        return List(repetitions) { timed(batch, action) / batch }
    }

    /** Microseconds of the thread's processor time for one call of [action] after [prepare], divided by [parts]. */
    fun prepared(parts: Int, prepare: () -> (() -> Any?)): List<Double> {
        val warm = System.nanoTime() + WARM_UP_NANOSECONDS
        var calls = 0
        while (calls++ < MINIMUM_CALLS || System.nanoTime() < warm) sink = prepare()()
        return List(repetitions) {
            val action = prepare()
            timed(1, action) / parts
        }
    }

    /** The results of [action], one for each repetition. */
    internal fun <T> repeated(action: () -> T): List<T> = List(repetitions) { action() }

    /**
     * Bytes of heap that the result of [build] retains. All results are kept until the end, so that none of an earlier
     * repetition is collected during a later one.
     */
    fun heap(build: () -> Any): List<Double> {
        sink = null
        val kept = arrayListOf(build())
        val values = List(repetitions) {
            val before = used()
            kept += build()
            (used() - before).toDouble()
        }
        Reference.reachabilityFence(kept)
        return values
    }

    private fun timed(calls: Int, action: () -> Any?): Double {
        val began = threads.currentThreadCpuTime
        repeat(calls) { sink = action() }
        return (threads.currentThreadCpuTime - began) / NANOSECONDS
    }

    private fun used(): Long {
        val memory = ManagementFactory.getMemoryMXBean()
        repeat(COLLECTIONS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }

    private companion object {
        const val NANOSECONDS = 1_000.0
        const val WARM_UP_NANOSECONDS = 400_000_000L
        const val REPETITION_NANOSECONDS = 20_000_000L
        const val MINIMUM_CALLS = 3
        const val MAXIMUM_CALLS = 100_000L

        /** The serial collector may leave dead objects in place in three of four full collections. */
        const val COLLECTIONS = 4
    }
}
