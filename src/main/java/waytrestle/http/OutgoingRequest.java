package waytrestle.http;

import java.nio.ByteBuffer;

/** The bytes of a request, the same for each try. */
final class OutgoingRequest {
    private final ByteBuffer[] parts;

    OutgoingRequest(ByteBuffer[] parts) {
        this.parts = parts;
    }

    /** All bytes from the first on, with positions of their own. */
    ByteBuffer[] bytes() {
        ByteBuffer[] copy = new ByteBuffer[parts.length];
        for (int i = 0; i < parts.length; i++) {
            copy[i] = parts[i].duplicate();
        }
        return copy;
    }
}
