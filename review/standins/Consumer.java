import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Timer;
import java.util.TimerTask;

/** A consumer with one kept channel to a gateway. Not thread-safe. */
final class Consumer {
    private static final Timer TIMER = new Timer(true);

    /** Time for which a consumer waits beyond its time limit, so that an answer at the limit still counts. */
    private static final int PATIENCE_MS = 2_000;
    private int port;
    private final Record record;
    private final Link link;
    private Socket socket;
    private BufferedInputStream in;

    Consumer(int port, Record record) {
        this(port, record, null);
    }

    /** A consumer that receives answers over a link with a bandwidth; null for none. */
    Consumer(int port, Record record, Link link) {
        this.port = port;
        this.record = record;
        this.link = link;
    }

    /** The answer to a request; status 0 if the channel ended without a complete answer, leaving if a replica says that it leaves. */
    record Answer(int status, String signature, int bytes, boolean leaving, String failure) {
    }

    /** Sends one request and reads its answer. */
    Answer send(String method, String path, String attempt, int deadlineMs, byte[] body) {
        record.line("sent " + attempt + " " + method + " " + path + " bytes " + body.length);
        Answer answer = exchange(method, path, attempt, deadlineMs, body);
        record.line("answer " + attempt + " status " + answer.status + " signature " + answer.signature + " bytes " + answer.bytes
            + (answer.failure.isEmpty() ? "" : " failure " + answer.failure));
        return answer;
    }

    private Answer exchange(String method, String path, String attempt, int deadlineMs, byte[] body) {
        try {
            if (socket == null) connect();
            TimerTask giveUp = closeLater(socket, deadlineMs + PATIENCE_MS);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Catalogue.HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Remaining: " + deadlineMs + "\r\nApi-Key: " + Catalogue.KEY
                + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Http.Message answer = Http.read(in);
            giveUp.cancel();
            if (answer == null) return failed("the channel was closed");
            if (answer.header("Connection").equalsIgnoreCase("close")) close();
            return new Answer(answer.status(), answer.header("Response-Signature"), answer.body.length, answer.header("Server-Leaving").equals("1"), "");
        } catch (IOException failure) {
            return failed(failure.toString());
        }
    }

    /** Closes the channel when the time limit has passed, also while the request is still being written. */
    private static TimerTask closeLater(Socket socket, int milliseconds) {
        TimerTask task = new TimerTask() {
            @Override
            public void run() {
                try {
                    socket.close();
                } catch (IOException failure) {
                    // The channel is gone in any case.
                }
            }
        };
        TIMER.schedule(task, milliseconds);
        return task;
    }

    private Answer failed(String failure) {
        close();
        return new Answer(0, "", 0, false, failure);
    }

    private void connect() throws IOException {
        socket = new Socket();
        if (link != null) socket.setReceiveBufferSize(Link.WINDOW_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(link == null ? socket.getInputStream() : link.over(socket.getInputStream()));
    }

    /** Uses another gateway from the next channel on. */
    void moveTo(int otherPort) {
        if (port == otherPort) return;
        close();
        port = otherPort;
    }

    /** Whether this consumer's channel leads to the given port. */
    boolean uses(int gatewayPort) {
        return port == gatewayPort;
    }

    void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException failure) {
            // The channel is gone in any case.
        }
        socket = null;
    }
}
