package boragering.measurements

import boragering.fleet.Address
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Semaphore
import kotlin.concurrent.thread

/**
 * A target on loopback that answers each request with a stream. The header `Events` of a request is the number of its
 * events; each event but the first is written when the caller has [taken] the one before.
 */
internal class StreamTarget(private val taken: Semaphore) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    val address = Address("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        while (true) {
            val headers = readHead(input) ?: return
            input.readNBytes(headers["content-length"]?.toInt() ?: 0)
            respond(socket, headers)
        }
    }

    private fun respond(socket: Socket, headers: Map<String, String>) {
        val output = socket.getOutputStream()
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n" +
            "Request-Id: ${headers["request-id"]}\r\nSignature: 5f0c1d2e9a7b\r\nServer-Load: 3,0,14\r\n" +
            "Keep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n"
        output.write(head.toByteArray())
        repeat(headers.getValue("events").toInt()) { index ->
            if (index > 0) taken.acquire()
            val event = "id: ${index + 1}\ndata: {\"text\":\" five or six tokens of text\",\"index\":$index}\n\n"
            output.write("${event.length.toString(HEXADECIMAL)}\r\n$event\r\n".toByteArray())
        }
        taken.acquire()
        output.write("0\r\n\r\n".toByteArray())
    }

    private fun readHead(input: InputStream): Map<String, String>? {
        readLine(input) ?: return null
        return generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    override fun close() = server.close()

    private companion object {
        const val BACKLOG = 50
        const val HEXADECIMAL = 16
    }
}
