package waytrestle.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.io.OutputStream;

/**
 * Provides the package's JSON factory, which sets no limit on the length of documents and strings,
 * and generators for streams of documents. Thread-safe; the generators are not.
 */
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
     * Returns a generator that writes any number of documents with no separator between them.
     * Closing the generator leaves the stream open.
     */
    public static JsonGenerator generator(OutputStream out) throws IOException {
        JsonGenerator json = FACTORY.createGenerator(out);
        json.setRootValueSeparator(null);
        return json;
    }
}
