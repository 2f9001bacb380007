package boragering.measurements

import boragering.fleet.Address
import java.net.Socket
import java.util.concurrent.Semaphore

/** A caller on one connection to [gateway]. It releases [taken] for each event that it has read. */
internal class StreamCaller(gateway: Address, private val taken: Semaphore) : AutoCloseable {
    private val socket = Socket(gateway.host, gateway.port).apply { tcpNoDelay = true }
    private val output = socket.getOutputStream()
    private val input = socket.getInputStream().buffered()
    private var number = 0

    /** Sends a request for a stream of [events] events, and reads the whole response. */
    fun request(events: Int) {
        number += 1
        output.write(head(events).toByteArray() + BODY)
        repeat(events) {
            awaitText(EVENT_END)
            taken.release()
        }
        awaitText(STREAM_END)
    }

    private fun head(events: Int) =
        "POST /v1/completions HTTP/1.1\r\nHost: $HOST\r\nRequest-Id: 5f0c1d2e-0000-4000-8000-$number\r\n" +
            "Api-Key: $KEY\r\nDeadline-Left: 60000\r\nEvents: $events\r\n" +
            "Prompt-Parts: 3a5f:900,77b1:300,$number:60\r\n" +
            "Content-Type: application/json\r\nAccept: text/event-stream\r\nContent-Length: ${BODY.size}\r\n\r\n"

    private fun awaitText(text: String) {
        var matched = 0
        while (matched < text.length) {
            val byte = input.read()
            check(byte >= 0) { "the gateway closed the connection" }
            matched = if (byte == text[matched].code) matched + 1 else if (byte == text[0].code) 1 else 0
        }
    }

    override fun close() = socket.close()

    /** The host and the API key of the requests. */
    companion object {
        const val HOST = "models.example"
        const val KEY = "0123456789abcdef"
        private const val EVENT_END = "\n\n"
        private const val STREAM_END = "\r\n0\r\n\r\n"
        private const val BODY_BYTES = 2_048
        private val BODY = ByteArray(BODY_BYTES) { 'x'.code.toByte() }
    }
}
