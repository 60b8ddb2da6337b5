package waytrestle.http;

import java.nio.ByteBuffer;

/** The bytes of a request, which may be written again on another connection. */
final class OutgoingRequest {
    private final ByteBuffer[] parts;

    OutgoingRequest(ByteBuffer[] parts) {
        this.parts = parts;
    }

    /** Returns all bytes of the request in new buffers, whose positions no other caller moves. */
    ByteBuffer[] bytes() {
        ByteBuffer[] copy = new ByteBuffer[parts.length];
        for (int i = 0; i < parts.length; i++) {
            copy[i] = parts[i].duplicate();
        }
        return copy;
    }
}
