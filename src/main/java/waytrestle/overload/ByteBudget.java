package waytrestle.overload;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongConsumer;

/**
 * Bounds the bytes of all bodies that are in memory at once. A body is read only once its whole
 * length is reserved, in the order of the requests for it; until then its connection is not read
 * from, and TCP flow control stops its sender. Nothing is dropped. Since a body with a reservation
 * can always be read to its end, waiting bodies cannot deadlock.
 *
 * <p>Guards against memory exhausted by many or large bodies at once. It can delay small bodies
 * behind a large one, so small ones pass those that wait as long as they fit.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ByteBudget {
    /** Bodies up to this size pass larger ones that wait, if they fit. */
    private static final long SMALL_BODY_BYTES = 16 * 1024;

    /** Fraction of the budget kept from larger bodies, so that small ones find capacity. */
    private static final double SMALL_BODY_RESERVED_FRACTION = 0.1;

    private record PendingReservation(long id, long bytes) {}

    private final long maxBytes;
    private final Queue<PendingReservation> pending = new ArrayDeque<>();
    private final Map<Long, Long> reservedById = new HashMap<>();
    private long reservedBytes;

    /** A budget of which nothing is reserved yet. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The bytes now reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** The number of bodies that wait for their reservation. */
    public int pendingReservations() {
        return pending.size();
    }

    /** Whether a body of this size can be granted at all, once enough others are released. */
    public boolean canEverReserve(long bytes) {
        return bytes <= capacityFor(bytes);
    }

    /**
     * Reserves the bytes of a body, or queues it to be granted by a later {@link #release}.
     *
     * @return whether the bytes are reserved now
     */
    public boolean tryReserve(long id, long bytes) {
        boolean mayPass = pending.isEmpty() || bytes <= SMALL_BODY_BYTES;
        if (mayPass && fits(bytes)) {
            reserve(id, bytes);
            return true;
        }
        pending.add(new PendingReservation(id, bytes));
        return false;
    }

    /**
     * Reserves more bytes under an id without waiting, even past the budget: for the body of a
     * response, whose size is known only once it has arrived.
     */
    public void reserve(long id, long bytes) {
        reservedBytes += bytes;
        reservedById.merge(id, bytes, Long::sum);
    }

    /**
     * Returns all bytes of an id, reserved or waiting.
     *
     * @param granted receives the id of each waiting body that is reserved by this, in order
     */
    public void release(long id, LongConsumer granted) {
        pending.removeIf(reservation -> reservation.id() == id);
        Long bytes = reservedById.remove(id);
        if (bytes != null) {
            reservedBytes -= bytes;
        }
        while (!pending.isEmpty() && fits(pending.peek().bytes())) {
            PendingReservation next = pending.poll();
            reserve(next.id(), next.bytes());
            granted.accept(next.id());
        }
    }

    private boolean fits(long bytes) {
        return reservedBytes + bytes <= capacityFor(bytes);
    }

    private long capacityFor(long bytes) {
        if (bytes <= SMALL_BODY_BYTES) {
            return maxBytes;
        }
        return (long) (maxBytes * (1 - SMALL_BODY_RESERVED_FRACTION));
    }
}
