package boragering.adapters

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Chooses loopback ports for processes whose settings name a port before they bind it, such as those of the class data
 * training run and of tests. The range lies below the one from which the system takes the local ends of connections and
 * the ports of listeners that ask for any (32768 and above), so that none of these takes a port before its process
 * binds it or while its process restarts. Another Java process can still choose the same port.
 */
object FreePorts {
    private const val FIRST = 12_000
    private const val LAST = 30_000
    private const val ATTEMPTS = 10_000

    /** Bounded, so that a long run does not exhaust the range. */
    private const val REMEMBERED = 4_000
    private val recentlyChosen = LinkedHashSet<Int>()

    /**
     * A port that nothing listens on and that was not among the last 4,000 ones chosen by this Java process.
     *
     * @throws NoSuchElementException if none of 10,000 random ports is free.
     */
    @Synchronized
    fun next(): Int = generateSequence { Random.nextInt(FIRST, LAST + 1) }
        .take(ATTEMPTS)
        .first { it !in recentlyChosen && isFree(it) }
        .also(::remember)

    private fun remember(port: Int) {
        recentlyChosen += port
        if (recentlyChosen.size > REMEMBERED) recentlyChosen -= recentlyChosen.first()
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close()
        true
    } catch (_: IOException) {
        false
    }
}
