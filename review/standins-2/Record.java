package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter writer;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... values) {
        writer.printf("%6d ms  %s%n", (System.nanoTime() - start) / 1_000_000, String.format(format, values));
    }
}
