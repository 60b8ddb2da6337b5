import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The record of one run: what was sent, answered and run, and how the rule was kept. */
final class Record implements AutoCloseable {
    private final BufferedWriter out;
    private final long startMillis = System.currentTimeMillis();
    private final List<String> breaks = new ArrayList<>();
    private volatile Throwable failure;

    Record(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    synchronized void line(String text) {
        try {
            out.write((System.currentTimeMillis() - startMillis) + " ms " + text);
            out.newLine();
        } catch (IOException e) {
            failure = e;
        }
    }

    /** Notes that the rule was broken. */
    synchronized void broken(String text) {
        line("BROKEN " + text);
        breaks.add(text);
    }

    /** Notes that a stand-in has failed, so that the run shows nothing. */
    void failed(Throwable cause) {
        failure = cause;
        line("STAND-IN FAILED " + cause);
        cause.printStackTrace();
    }

    Throwable failure() {
        return failure;
    }

    synchronized List<String> breaks() {
        return new ArrayList<>(breaks);
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
