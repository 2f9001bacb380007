package boragering.scenarios

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Chooses ports for daemons, whose settings name them before they start. The range lies below the one from which the
 * system takes the local ends of connections, so that none of these takes a port that a daemon is about to bind.
 */
internal object FreePorts {
    private const val FIRST = 20_000
    private const val LAST = 31_999
    private val taken = ConcurrentHashMap.newKeySet<Int>()

    /** A port that nothing listens on and that has not been chosen before. */
    fun next(): Int = generateSequence { Random.nextInt(FIRST, LAST + 1) }.first(::take)

    private fun take(port: Int): Boolean = isFree(port) && taken.add(port)

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }
}
