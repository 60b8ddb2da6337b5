import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the seconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8.3f %s%n", seconds(), String.format(format, values));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
