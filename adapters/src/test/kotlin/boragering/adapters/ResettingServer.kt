package boragering.adapters

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/**
 * Sends a fixed response to each request on a loopback port as soon as it has read the head, then reads a part of the
 * body, and resets the connection while the rest is being written.
 */
internal class ResettingServer(private val response: String) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The address (`host:port`) of the server. */
    val address = "127.0.0.1:${socket.localPort}"

    private val acceptor = thread(isDaemon = true) { runCatching { while (true) serveOne() } }

    private fun serveOne() {
        val connection = socket.accept()
        val input = connection.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        connection.getOutputStream().write(response.encodeToByteArray())
        connection.getOutputStream().flush()
        input.readNBytes(READ_BYTES)
        connection.setSoLinger(true, 0)
        connection.close()
    }

    override fun close() {
        socket.close()
        acceptor.join()
    }

    /** Sizes in bytes. */
    companion object {
        private const val BACKLOG = 16

        /** More than what is on its way when the response is written. */
        private const val READ_BYTES = 8 shl 20

        /** Length of a body whose rest does not fit into the buffers of the sockets. */
        const val UPLOAD_BYTES = 16 shl 20
    }
}
