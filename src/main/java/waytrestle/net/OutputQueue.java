package waytrestle.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Queues the output of one connection that the kernel has not taken yet, and counts in bytes how
 * much it has taken. Does no I/O. Not thread-safe: used on the loop's thread.
 */
final class OutputQueue {
    /** Most buffers of one gathering write: more gain nothing on a socket. */
    private static final int MAX_GATHERED_BUFFERS = 16;

    /**
     * Larger buffers are queued in slices of this size. For each write the JDK copies all remaining
     * bytes of a heap buffer, however few of them the socket takes.
     */
    private static final int MAX_SLICE_BYTES = 64 * 1024;

    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private long pendingBytes;
    private long writtenBytes;

    /** Queues a buffer without copying it; the caller must not use the buffer afterwards. */
    void add(ByteBuffer buffer) {
        pendingBytes += buffer.remaining();
        while (buffer.remaining() > MAX_SLICE_BYTES) {
            buffers.add(buffer.slice(buffer.position(), MAX_SLICE_BYTES));
            buffer.position(buffer.position() + MAX_SLICE_BYTES);
        }
        if (buffer.hasRemaining()) {
            buffers.add(buffer);
        }
    }

    /** Returns the buffers of the next write, in order; empty if nothing is queued. */
    ByteBuffer[] nextBuffers() {
        ByteBuffer[] next = new ByteBuffer[Math.min(MAX_GATHERED_BUFFERS, buffers.size())];
        Iterator<ByteBuffer> inOrder = buffers.iterator();
        for (int i = 0; i < next.length; i++) {
            next[i] = inOrder.next();
        }
        return next;
    }

    /**
     * Records how many bytes of {@link #nextBuffers} the kernel has taken. The write must have
     * advanced the buffers' positions.
     *
     * @throws IllegalArgumentException if the number is negative or above {@link #pendingBytes}
     */
    void recordWritten(long bytes) {
        if (bytes < 0 || bytes > pendingBytes) {
            throw new IllegalArgumentException(
                    bytes + " bytes written, not between 0 and the pending " + pendingBytes);
        }
        writtenBytes += bytes;
        pendingBytes -= bytes;
        while (!buffers.isEmpty() && !buffers.peek().hasRemaining()) {
            buffers.poll();
        }
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Returns the number of queued bytes that the kernel has not taken yet. */
    long pendingBytes() {
        return pendingBytes;
    }

    /** Returns the number of bytes that the kernel has taken since the connection began. */
    long writtenBytes() {
        return writtenBytes;
    }

    /** Drops all queued output; the count of written bytes stays. */
    void clear() {
        buffers.clear();
        pendingBytes = 0;
    }
}
