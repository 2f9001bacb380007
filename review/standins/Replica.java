import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** A replica of a plain service, which is listed in the store and runs each request that names it. */
class Replica {
    static final int SLOTS = 6;
    private static final int QUEUE = 24;
    final String id;
    private final String zone;
    private final Record record;
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> sockets = new ArrayList<>();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final long born = System.currentTimeMillis();
    private long beats;

    Replica(String id, Record record) throws IOException {
        this(id, "sapporo", record);
    }

    Replica(String id, String zone, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.record = record;
        Threads.start(this::accept);
    }

    /** The entry in the store. */
    synchronized String entry(String state) {
        return ("{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":%d,"
            + "\"State\":\"%s\",\"ColdRemainingMs\":0,\"born\":%d,\"Sequence\":%d}")
            .formatted(Catalogue.SERVICE, server.getLocalPort(), zone, SLOTS, state, born, ++beats);
    }

    String key() {
        return "servers/" + id;
    }

    /** Stops listening and closes all connections, as a process that exits. */
    void exit() throws IOException {
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) socket.close();
        }
    }

    /** The time that a request takes. */
    int workMs(Http.Message request) {
        return 60;
    }

    /** Further header lines of an answer, each with its line end. */
    String moreHeaders() {
        return "";
    }

    /** The body of the answer. */
    byte[] body(Http.Message request) {
        return "x".repeat(800).getBytes(StandardCharsets.US_ASCII);
    }

    /** The header line that carries the digest of an answer. */
    String signatureLine(String attempt) {
        return "Response-Signature: s." + attempt + "\r\n";
    }

    /** Bytes that follow the complete answer; a sound replica sends none. */
    byte[] extraBytes() {
        return new byte[0];
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            synchronized (sockets) {
                sockets.add(socket);
            }
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                out.write(answer(request));
                out.flush();
            }
        } finally {
            synchronized (sockets) {
                sockets.remove(socket);
            }
        }
    }

    private byte[] answer(Http.Message request) throws InterruptedException {
        String attempt = request.header("Attempt-Id");
        if (request.target().equals("/health")) return head(200, "", 0).getBytes(StandardCharsets.US_ASCII);
        if (!request.header("Expect-Instance").equals(id)) {
            return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n".formatted(id).getBytes(StandardCharsets.US_ASCII);
        }
        long waitMs = Long.parseLong(request.header("Deadline-Remaining"));
        boolean full = slots.getQueueLength() >= QUEUE;
        if (full || !slots.tryAcquire(waitMs, TimeUnit.MILLISECONDS)) {
            record.line("shed " + attempt + " at " + id);
            return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        }
        record.line("run " + attempt + " at " + id);
        Thread.sleep(workMs(request));
        byte[] body = body(request);
        slots.release();
        record.line("answered-by-replica " + attempt + " at " + id + " status 200 bytes " + body.length);
        byte[] head = head(200, "Attempt-Id: " + attempt + "\r\n" + signatureLine(attempt), body.length)
            .getBytes(StandardCharsets.US_ASCII);
        byte[] extra = extraBytes();
        if (extra.length > 0) record.line("extra-bytes after " + attempt + " at " + id + ": " + new String(extra, StandardCharsets.US_ASCII).replace("\r\n", "\\r\\n"));
        byte[] all = new byte[head.length + body.length + extra.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        System.arraycopy(extra, 0, all, head.length + body.length, extra.length);
        return all;
    }

    private String head(int status, String more, int length) {
        return "HTTP/1.1 " + status + " OK\r\nInstance-Id: " + id + "\r\n" + more + moreHeaders()
            + "Server-Load: " + (SLOTS - slots.availablePermits()) + "," + slots.getQueueLength() + "," + SLOTS + "\r\nContent-Length: " + length + "\r\n\r\n";
    }
}
