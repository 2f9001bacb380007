package boragering.adapters

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Chooses loopback ports for processes whose settings name a port before they bind it, such as those of the class data
 * training run and of tests. The range lies below the one from which the system takes the local ends of connections and
 * the ports of listeners that ask for any (32768 and above), so that none of these takes a port before its process
 * binds it or while its process restarts.
 */
object FreePorts {
    private const val FIRST = 12_000
    private const val LAST = 30_000

    /** Bounded, so that a long run does not exhaust the range. */
    private const val REMEMBERED = 4_000
    private val given = LinkedHashSet<Int>()

    /** A port that nothing listens on and that was not among the last 4,000 ones given out by this Java process. */
    @Synchronized
    fun next(): Int = generateSequence { Random.nextInt(FIRST, LAST + 1) }
        .first { it !in given && isFree(it) }
        .also(::remember)

    private fun remember(port: Int) {
        given += port
        if (given.size > REMEMBERED) given -= given.first()
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close()
        true
    } catch (_: IOException) {
        false
    }
}
