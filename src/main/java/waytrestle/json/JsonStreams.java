package waytrestle.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.io.OutputStream;

/** The one JSON factory, which reads and writes documents and texts of any length. */
public final class JsonStreams {
    static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxStringLength(Integer.MAX_VALUE)
                                    .maxDocumentLength(-1)
                                    .build())
                    .disable(StreamWriteFeature.AUTO_CLOSE_TARGET)
                    .build();

    private JsonStreams() {}

    /**
     * A generator that writes one document after the other, with nothing between them, and leaves
     * the stream open when it is closed.
     */
    public static JsonGenerator generator(OutputStream out) throws IOException {
        JsonGenerator json = FACTORY.createGenerator(out);
        json.setRootValueSeparator(null);
        return json;
    }
}
