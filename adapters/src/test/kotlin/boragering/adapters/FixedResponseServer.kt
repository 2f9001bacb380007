package boragering.adapters

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Sends a fixed response to every request on a loopback port, whatever the request is, and closes the connection. */
internal class FixedResponseServer(private val response: String) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The request lines received so far. */
    val requestLines = CopyOnWriteArrayList<String>()

    /** The address (`host:port`) of the server. */
    val address = "127.0.0.1:${socket.localPort}"

    private val acceptor = thread(isDaemon = true) { runCatching { while (true) serveOne() } }

    private fun serveOne() {
        socket.accept().use { connection ->
            val reader = connection.getInputStream().bufferedReader()
            requestLines += reader.readLine().orEmpty()
            val headers = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val length = headers.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
            // A socket that is closed before its input was read resets the connection, which can lose the response.
            repeat(length?.substringAfter(':')?.trim()?.toInt() ?: 0) { reader.read() }
            connection.getOutputStream().write(response.encodeToByteArray())
            connection.getOutputStream().flush()
        }
    }

    override fun close() {
        socket.close()
        acceptor.join()
    }

    private companion object {
        const val BACKLOG = 16
    }
}
