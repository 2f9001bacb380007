package boragering.gateway

import boragering.fleet.Address
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** An HTTP message as a target or a caller reads it. */
internal class ReadMessage(val startLine: String, val headers: Map<String, String>, val body: String) {
    fun header(name: String): String? = headers[name.lowercase()]
}

/**
 * Reads one HTTP message with any framing, without its body if [withBody] is `false`; returns `null` at the end of the
 * stream.
 */
internal fun readMessage(input: InputStream, withBody: Boolean = true): ReadMessage? {
    val start = readLine(input) ?: return null
    val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
        .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    val body = when {
        !withBody -> ""
        headers["transfer-encoding"] == "chunked" -> readChunks(input)
        headers["content-length"] != null -> input.readNBytes(
            headers.getValue("content-length").toInt()
        ).decodeToString()
        start.startsWith("HTTP") -> input.readBytes().decodeToString()
        else -> ""
    }
    return ReadMessage(start, headers, body)
}

private fun readChunks(input: InputStream): String = buildString {
    while (true) {
        val size = readLine(input)?.toIntOrNull(radix = 16) ?: error("the chunks break off after: $this")
        append(input.readNBytes(size).decodeToString())
        readLine(input)
        if (size == 0) return@buildString
    }
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

/** What a [ScriptedTarget] does with one request. */
internal class Script(val request: ReadMessage, private val socket: Socket, private val target: ScriptedTarget) {
    /** Port of the gateway's end of the connection, which identifies it. */
    val connection: Int get() = socket.port

    fun write(text: String) = socket.getOutputStream().apply { write(text.toByteArray()) }.flush()

    fun close() = socket.close()

    /** Sends the end of the target's bytes, while it may go on to read. */
    fun finish() = socket.shutdownOutput()

    /** Reads [bytes] of a request's body that the target has left unread. */
    fun readUpload(bytes: Int) {
        socket.getInputStream().readNBytes(bytes)
    }

    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Ends the target with all its connections, as when its process crashes. */
    fun crash() = target.crash()

    /** Waits until the gateway closes the connection; returns whether it did so within [milliseconds]. */
    fun closedWithin(milliseconds: Int): Boolean {
        socket.soTimeout = milliseconds
        return try {
            socket.getInputStream().read() < 0
        } catch (_: java.net.SocketTimeoutException) {
            false
        } catch (_: java.net.SocketException) {
            true
        }
    }

    /**
     * Answers with [status] and [body], and with a signature unless [headers] have one. The bytes [before] and [extra]
     * precede and follow the answer in the same write.
     */
    fun answer(status: Int, body: String, vararg headers: String, before: String = "", extra: String = "") {
        val signature = listOf("Signature: s").takeIf { headers.none { it.startsWith("Signature:") } }.orEmpty()
        val own =
            listOf("HTTP/1.1 $status X", "Id: ${request.header("id")}", "Content-Length: ${body.length}") + signature
        write(before + (own + headers).joinToString("\r\n") + "\r\n\r\n" + body + extra)
    }

    /** Begins a stream, to which [event] adds events. */
    fun beginStream() =
        write("HTTP/1.1 200 OK\r\nId: ${request.header("id")}\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n\r\n")

    fun event(text: String) = write("${text.length.toString(16)}\r\n$text\r\n")

    fun endStream() = write("0\r\n\r\n")
}

/** A target on loopback that runs a script for each request and records the requests and the script failures. */
internal class ScriptedTarget(private val script: Script.(Int) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val requests = CopyOnWriteArrayList<ReadMessage>()
    val failures = CopyOnWriteArrayList<Throwable>()
    private val sockets = CopyOnWriteArrayList<Socket>()
    val address = Address("127.0.0.1", server.localPort)

    /** The availability zone, which is that of the gateway unless a test sets another one. */
    var zone = "z"

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    /** Called before the target reads from a new connection. */
    @Volatile
    var beforeRead: () -> Unit = {}

    /** Whether the target reads the bodies of requests; otherwise it leaves them to the script. */
    @Volatile
    var readsBodies = true

    /** Whether the target has crashed. */
    val crashed: Boolean get() = server.isClosed

    /** Refuses new connections from now on and resets those that are open. */
    fun crash() {
        server.close()
        sockets.forEach {
            it.setSoLinger(true, 0)
            it.close()
        }
    }

    private fun serve(socket: Socket) = socket.use {
        sockets += socket
        beforeRead()
        while (!socket.isClosed) {
            val request = runCatching { readMessage(socket.getInputStream(), readsBodies) }.getOrNull() ?: return
            requests += request
            runCatching { Script(request, socket, this).script(requests.size) }.onFailure { failures += it }
        }
    }

    override fun close() = server.close()
}
