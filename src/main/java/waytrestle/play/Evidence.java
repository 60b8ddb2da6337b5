package waytrestle.play;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import waytrestle.net.Loop;
import waytrestle.standin.Sightings;

/**
 * Sightings as JSON lines in one file, each with the micros since the play began by the one clock
 * of its process.
 */
public final class Evidence implements Sightings, AutoCloseable {
    public static final String FILE = "evidence.jsonl";

    private final JsonGenerator out;
    private final LongSupplier clock;
    private final long began;
    private boolean closed;

    public Evidence(Path dir) throws IOException {
        this(dir, Loop::nowMicros);
    }

    /** With another clock of micros. */
    public Evidence(Path dir, LongSupplier clock) throws IOException {
        this.clock = clock;
        this.began = clock.getAsLong();
        Files.createDirectories(dir);
        out = new JsonFactory().createGenerator(Files.newBufferedWriter(dir.resolve(FILE)));
        out.setRootValueSeparator(new SerializedString("\n"));
    }

    public long now() {
        return clock.getAsLong() - began;
    }

    @Override
    public synchronized void saw(String who, String what, Object... pairs) {
        if (closed) {
            return;
        }
        try {
            out.writeStartObject();
            out.writeNumberField("t", now());
            out.writeStringField("who", who);
            out.writeStringField("what", what);
            for (int i = 0; i < pairs.length; i += 2) {
                if (pairs[i + 1] instanceof Number n) {
                    out.writeNumberField((String) pairs[i], n.longValue());
                } else {
                    out.writeStringField((String) pairs[i], String.valueOf(pairs[i + 1]));
                }
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        out.close();
    }
}
