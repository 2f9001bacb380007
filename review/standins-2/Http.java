package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** Plain HTTP/1.1 over blocking sockets, for stand-ins and callers. */
final class Http {
    private Http() {
    }

    /** The first line and the headers of a message; names are in lower case. */
    static final class Head {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String get(String name) {
            return headers.get(name.toLowerCase());
        }

        int length() {
            String length = get("content-length");
            return length == null ? 0 : Integer.parseInt(length.trim());
        }
    }

    interface Handler {
        /** Serves one request whose body has not been read; returns whether the connection stays open. */
        boolean serve(Head head, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    /** Reads a head; returns null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        String line = readLine(in);
        if (line == null) return null;
        head.line = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("the head broke off");
        return head;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("a line broke off");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ended after " + bytes.length + " of " + length);
        return bytes;
    }

    /** Reads the body of a response: by its length, by chunks, or up to the end of the connection. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("the chunks broke off after " + body.size() + " bytes");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) return body.toByteArray();
            }
        }
        return head.get("content-length") == null ? in.readAllBytes() : readExactly(in, head.length());
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A complete response with a JSON or text body. */
    static byte[] response(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ascii("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n"
            + new String(bytes, StandardCharsets.ISO_8859_1));
    }

    /** A listening server; one thread for each connection. */
    static final class Server {
        final ServerSocket listener = new ServerSocket();
        final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(int port, int receiveBuffer, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            if (receiveBuffer > 0) listener.setReceiveBufferSize(receiveBuffer);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
            daemon(this::acceptAll);
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Ends as a process that is killed: the listener and all connections are closed at once. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets) socket.close();
        }

        private void acceptAll() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serveAll(socket));
                } catch (IOException failure) {
                    return;
                }
            }
        }

        private void serveAll(Socket socket) {
            sockets.add(socket);
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    if (!handler.serve(head, in, out, socket)) return;
                }
            } catch (Exception ended) {
                // The other end has closed the connection, or this end has crashed.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    /** The slots of a replica, which queues as many requests more and sheds the rest. */
    static final class Slots {
        private final Semaphore free;
        private final int queue;

        Slots(int count) {
            free = new Semaphore(count, true);
            queue = count;
        }

        /** Serves the request while it holds a slot, or sheds it. */
        boolean serve(Head head, InputStream in, OutputStream out, Socket socket, Handler work) throws Exception {
            if (free.availablePermits() == 0 && free.getQueueLength() >= queue) {
                readExactly(in, head.length());
                out.write(response(503, "Attempt-Id: " + head.get("attempt-id") + "\r\nNot-Executed: 1\r\n", ""));
                out.flush();
                return true;
            }
            free.acquire();
            try {
                return work.serve(head, in, out, socket);
            } finally {
                free.release();
            }
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
