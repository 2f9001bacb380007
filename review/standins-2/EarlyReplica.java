package review2;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * A replica of a plain service. It answers before it has read a long body, and its answer has neither a length nor
 * chunks and ends with its channel. The second half of an answer follows a second after the first.
 */
final class EarlyReplica {
    static final int ANSWER_BYTES = 2_000;
    private static final int READ_FIRST = 64 << 10;
    private static final int RECEIVE_BUFFER = 64 << 10;
    private static final int PAUSE_MS = 1_000;

    private EarlyReplica() {
    }

    public static void main(String[] arguments) throws Exception {
        Http.Server server = new Http.Server(0, RECEIVE_BUFFER, EarlyReplica::serve);
        System.out.println(server.port());
        System.out.flush();
        System.in.read();
    }

    private static boolean serve(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        int length = head.length();
        int first = Math.min(length, READ_FIRST);
        in.readNBytes(first);
        System.out.println("run " + head.get("attempt-id"));
        out.write(Http.ascii("HTTP/1.1 200 OK\r\nAttempt-Id: " + head.get("attempt-id")
            + "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n"));
        byte[] half = Http.ascii("a".repeat(ANSWER_BYTES / 2));
        out.write(half);
        out.flush();
        System.out.println("half " + head.get("attempt-id"));
        Thread.sleep(PAUSE_MS);
        out.write(half);
        out.flush();
        in.readNBytes(length - first);
        System.out.println("whole " + head.get("attempt-id"));
        return false;
    }
}
