package waytrestle.net;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The input of one connection that its handler has not taken yet, up to a bound, and since when it
 * can have waited. Free of I/O.
 */
final class UnreadInput {
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final int bound;
    private final Consumer<ByteBuffer> handler;
    private final BooleanSupplier open;
    private ByteBuffer kept = EMPTY;
    private long offeredSince;
    private long keptSince;
    private boolean offering;

    /**
     * Creates it empty.
     *
     * @param open whether the handler still wants input
     */
    UnreadInput(int bound, Consumer<ByteBuffer> handler, BooleanSupplier open) {
        this.bound = bound;
        this.handler = handler;
        this.open = open;
    }

    int unreadBytes() {
        return kept.remaining();
    }

    /** Bytes that may still be kept. */
    int freeBytes() {
        return bound - kept.remaining();
    }

    /** Whether the handler is being offered input at the moment. */
    boolean isOffering() {
        return offering;
    }

    /** The earliest time at which the input now offered can have come. */
    long offeredSinceMicros() {
        return offeredSince;
    }

    /** Hands new input over behind what is kept; what the handler leaves is kept. */
    void add(ByteBuffer in, long sinceMicros) {
        if (kept.hasRemaining()) {
            ByteBuffer joined = ByteBuffer.allocate(kept.remaining() + in.remaining());
            kept = joined.put(kept).put(in).flip();
            offerAgain();
            return;
        }
        offering = true;
        offeredSince = sinceMicros;
        try {
            handler.accept(in);
        } finally {
            offering = false;
        }
        if (in.hasRemaining() && open.getAsBoolean()) {
            keptSince = offeredSince;
            kept = ByteBuffer.allocate(in.remaining()).put(in).flip();
        }
    }

    /** Offers what is kept again, for as long as the handler takes some of it. */
    void offerAgain() {
        offering = true;
        offeredSince = keptSince;
        try {
            int before = -1;
            while (open.getAsBoolean() && kept.hasRemaining() && kept.remaining() != before) {
                before = kept.remaining();
                handler.accept(kept);
            }
        } finally {
            offering = false;
        }
        if (!kept.hasRemaining()) {
            kept = EMPTY;
        }
    }

    void clear() {
        kept = EMPTY;
    }
}
