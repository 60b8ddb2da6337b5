package waytrestle.http;

import java.nio.ByteBuffer;

/**
 * The status line of a response as it was received, by which another response of the same server is
 * recognised behind it.
 *
 * <p>Not thread-safe.
 */
final class ReceivedStatusLine {
    /** Longest line that is kept; a longer one is not recognised when it comes again. */
    private static final int MAX_BYTES = 128;

    private byte[] bytes;
    private int size;
    private boolean complete;

    /** Forgets the line. */
    void clear() {
        size = 0;
        complete = false;
    }

    /**
     * Adds bytes of the response, as far as they belong to its status line.
     *
     * @param in the buffer that holds them; its position is not changed
     * @param from index of the first byte
     * @param to index after the last byte
     */
    void append(ByteBuffer in, int from, int to) {
        if (bytes == null) {
            bytes = new byte[MAX_BYTES];
        }
        for (int i = from; i < to && !complete && size < MAX_BYTES; i++) {
            bytes[size] = in.get(i);
            complete = bytes[size] == '\n';
            size++;
        }
    }

    /** Returns whether the bytes begin with the complete line. */
    boolean isRepeatedBy(ByteBuffer following) {
        return complete
                && following.remaining() >= size
                && ByteBuffer.wrap(bytes, 0, size)
                        .equals(following.slice(following.position(), size));
    }
}
