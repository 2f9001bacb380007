import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the record of a test: one line for each thing that was sent, run or answered, with the time in ms. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the test. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(now() + " " + text);
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void say(String text) {
        line(text);
        out.flush();
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }
}
