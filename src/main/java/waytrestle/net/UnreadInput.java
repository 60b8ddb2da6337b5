package waytrestle.net;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Hands the input of one connection to its handler and keeps, in bytes, what the handler does not
 * take, together with the earliest time at which that input can have arrived. Does no I/O; times
 * are monotonic microseconds. Not thread-safe: used on the loop's thread.
 */
final class UnreadInput {
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final int maxBytes;
    private final Consumer<ByteBuffer> handler;
    private final BooleanSupplier open;
    private ByteBuffer unread = EMPTY;
    private long offeredSinceMicros;
    private long unreadSinceMicros;
    private boolean offering;

    /**
     * Creates an empty instance.
     *
     * @param maxBytes number of unread bytes from which on the connection stops reading
     * @param handler takes what it wants from a buffer by advancing its position
     * @param open returns whether the connection is open, so that its handler still wants input
     */
    UnreadInput(int maxBytes, Consumer<ByteBuffer> handler, BooleanSupplier open) {
        this.maxBytes = maxBytes;
        this.handler = handler;
        this.open = open;
    }

    /** Returns the number of unread bytes. */
    int unreadBytes() {
        return unread.remaining();
    }

    /** Returns the number of bytes that may still be unread; 0 or less at the limit. */
    int freeBytes() {
        return maxBytes - unread.remaining();
    }

    /** Returns whether a call of the handler is in progress. */
    boolean isOffering() {
        return offering;
    }

    /** Returns the earliest time at which the input offered last can have arrived. */
    long offeredSinceMicros() {
        return offeredSinceMicros;
    }

    /**
     * Hands new input to the handler, after the unread input if there is any, and keeps what the
     * handler does not take.
     *
     * @param in the new input, copied as far as it is kept
     * @param earliestArrivalMicros earliest time at which the new input can have arrived
     */
    void add(ByteBuffer in, long earliestArrivalMicros) {
        if (unread.hasRemaining()) {
            ByteBuffer joined = ByteBuffer.allocate(unread.remaining() + in.remaining());
            unread = joined.put(unread).put(in).flip();
            offerAgain();
            return;
        }
        offering = true;
        offeredSinceMicros = earliestArrivalMicros;
        try {
            handler.accept(in);
        } finally {
            offering = false;
        }
        if (in.hasRemaining() && open.getAsBoolean()) {
            unreadSinceMicros = offeredSinceMicros;
            unread = ByteBuffer.allocate(in.remaining()).put(in).flip();
        }
    }

    /** Offers the unread input to the handler again, repeatedly while it takes some of it. */
    void offerAgain() {
        offering = true;
        offeredSinceMicros = unreadSinceMicros;
        try {
            int remainingBefore = -1;
            while (open.getAsBoolean()
                    && unread.hasRemaining()
                    && unread.remaining() != remainingBefore) {
                remainingBefore = unread.remaining();
                handler.accept(unread);
            }
        } finally {
            offering = false;
        }
        if (!unread.hasRemaining()) {
            unread = EMPTY;
        }
    }

    /** Drops the unread input. */
    void clear() {
        unread = EMPTY;
    }
}
