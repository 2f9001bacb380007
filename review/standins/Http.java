import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {
    private Http() {
    }

    /** A message: its first line, its headers by lower-case name, and its body. */
    static final class Message {
        final String firstLine;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        Message(String firstLine) {
            this.firstLine = firstLine;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** The method of a request. */
        String method() {
            return firstLine.split(" ")[0];
        }

        /** The path and query of a request. */
        String target() {
            return firstLine.split(" ")[1];
        }

        /** The status of a response. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads one message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) message.body = readBody(in, message);
        return message;
    }

    /** Reads the first line and the headers. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message(line);
        for (line = required(in); !line.isEmpty(); line = required(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body that the headers of the message announce. */
    static byte[] readBody(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) return readChunks(in);
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(required(in).split(";")[0].trim(), 16);
            body.write(readExactly(in, size));
            required(in);
            if (size == 0) return body.toByteArray();
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ends after " + bytes.length + " of " + length + " bytes");
        return bytes;
    }

    private static String required(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("the head ends early");
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next != '\n') {
            if (next < 0) throw new EOFException("the head ends early");
            if (next != '\r') line.write(next);
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
