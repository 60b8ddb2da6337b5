package waytrestle.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The output of one connection that the kernel has not taken yet, and how much it has. Free of I/O.
 */
final class OutputQueue {
    /** Buffers of one gathered write: more gain nothing on a socket. */
    private static final int MAX_GATHERED_BUFFERS = 16;

    /**
     * Bytes of one buffer: the JDK copies all that is left of a heap buffer for each write, however
     * little the socket takes.
     */
    private static final int MAX_SLICE_BYTES = 64 * 1024;

    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private long pending;
    private long written;

    /** Queues a buffer, which must not be touched after. */
    void add(ByteBuffer buffer) {
        pending += buffer.remaining();
        while (buffer.remaining() > MAX_SLICE_BYTES) {
            buffers.add(buffer.slice(buffer.position(), MAX_SLICE_BYTES));
            buffer.position(buffer.position() + MAX_SLICE_BYTES);
        }
        if (buffer.hasRemaining()) {
            buffers.add(buffer);
        }
    }

    /** The next buffers to write, in order. */
    ByteBuffer[] nextBuffers() {
        ByteBuffer[] next = new ByteBuffer[Math.min(MAX_GATHERED_BUFFERS, buffers.size())];
        Iterator<ByteBuffer> inOrder = buffers.iterator();
        for (int i = 0; i < next.length; i++) {
            next[i] = inOrder.next();
        }
        return next;
    }

    /** Notes what the kernel has taken of {@link #nextBuffers}. */
    void recordWritten(long bytes) {
        if (bytes < 0 || bytes > pending) {
            throw new IllegalArgumentException(bytes + " bytes taken of " + pending);
        }
        written += bytes;
        pending -= bytes;
        while (!buffers.isEmpty() && !buffers.peek().hasRemaining()) {
            buffers.poll();
        }
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Bytes queued and not yet taken. */
    long pendingBytes() {
        return pending;
    }

    /** Bytes that the kernel has taken since the connection began; it never falls. */
    long writtenBytes() {
        return written;
    }

    void clear() {
        buffers.clear();
        pending = 0;
    }
}
