package waytrestle.overload;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongConsumer;

/**
 * Bounds the total size, in bytes, of the request and response bodies in memory. The body of a
 * request is read only after its whole length is reserved. Reservations that do not fit wait in
 * first-in, first-out order; while a body waits, its connection is not read, and TCP flow control
 * stops the sender. No body is dropped. Since a body with a reservation can always be read to its
 * end, waiting bodies cannot deadlock.
 *
 * <p>Guards against many or large bodies that exhaust the memory at once. Waiting in order would
 * delay small bodies behind a large one, so a small body that fits overtakes the waiting ones.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ByteBudget {
    /** Largest body that overtakes waiting bodies if it fits the budget. */
    private static final long SMALL_BODY_BYTES = 16 * 1024;

    /** Fraction of the budget that only bodies up to {@link #SMALL_BODY_BYTES} may use. */
    private static final double SMALL_BODY_RESERVED_FRACTION = 0.1;

    private record PendingReservation(long id, long bytes) {}

    private final long maxBytes;
    private final Queue<PendingReservation> pending = new ArrayDeque<>();
    private final Map<Long, Long> reservedById = new HashMap<>();
    private long reservedBytes;

    /** Creates a budget with no reservations. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the number of reserved bytes, which response bodies may raise above the budget. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the number of bodies that wait for a reservation. */
    public int pendingReservations() {
        return pending.size();
    }

    /** Returns whether a body of the given size fits a budget with no other reservations. */
    public boolean canEverReserve(long bytes) {
        return bytes <= capacityFor(bytes);
    }

    /**
     * Reserves the bytes of a body, or queues the reservation until {@link #release} makes enough
     * bytes available.
     *
     * @param id identifies the owner of the body in {@link #release}
     * @return true if the bytes are reserved, false if the reservation is queued
     */
    public boolean tryReserve(long id, long bytes) {
        boolean mayOvertake = pending.isEmpty() || bytes <= SMALL_BODY_BYTES;
        if (mayOvertake && fits(bytes)) {
            reserve(id, bytes);
            return true;
        }
        pending.add(new PendingReservation(id, bytes));
        return false;
    }

    /**
     * Reserves further bytes for an id at once, even beyond the budget. Used for the body of a
     * response, whose size is known only after it has arrived.
     */
    public void reserve(long id, long bytes) {
        reservedBytes += bytes;
        reservedById.merge(id, bytes, Long::sum);
    }

    /**
     * Releases all reserved bytes of an id, removes its queued reservations, and reserves the bytes
     * of the queued bodies that now fit.
     *
     * @param onReserved receives the id of each queued body whose bytes have been reserved, in
     *     queue order
     */
    public void release(long id, LongConsumer onReserved) {
        pending.removeIf(reservation -> reservation.id() == id);
        Long bytes = reservedById.remove(id);
        if (bytes != null) {
            reservedBytes -= bytes;
        }
        while (!pending.isEmpty() && fits(pending.peek().bytes())) {
            PendingReservation next = pending.poll();
            reserve(next.id(), next.bytes());
            onReserved.accept(next.id());
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
