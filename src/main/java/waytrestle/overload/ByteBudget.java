package waytrestle.overload;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Bytes of all bodies held at once. A body is read only once its whole length is granted, in the
 * order of asking; until then its sender is not read from, which the kernel tells it. Nothing is
 * dropped, and since a granted body can always be read to its end, waiting ones cannot block each
 * other for good.
 *
 * <p>Guards against memory filled by many or large bodies at once. It can hurt small ones behind a
 * large one; those at most the small size pass it as long as they fit.
 */
public final class ByteBudget {
    // ---- Tuned numbers. ----
    private static final long SMALL =
            16 * 1024; // bytes: such bodies pass a larger one that waits, if they fit
    private static final double FOR_SMALL =
            0.1; // of the budget kept from large bodies, so that small ones find room

    private record Waiting(long id, long bytes) {}

    private final long most;
    private final ArrayDeque<Waiting> line = new ArrayDeque<>();
    private final Map<Long, Long> held = new HashMap<>();
    private long used;

    public ByteBudget(long most) {
        this.most = most;
    }

    public long used() {
        return used;
    }

    public int waiting() {
        return line.size();
    }

    /** A body larger than what large ones may use together can never be granted. */
    public boolean isGrantable(long bytes) {
        return bytes <= room(bytes);
    }

    private long room(long bytes) {
        return bytes <= SMALL ? most : (long) (most * (1 - FOR_SMALL));
    }

    /** True when granted now; else it waits and is granted by a later release. */
    public boolean tryReserve(long id, long bytes) {
        if ((line.isEmpty() || bytes <= SMALL) && used + bytes <= room(bytes)) {
            grant(id, bytes);
            return true;
        }
        line.add(new Waiting(id, bytes));
        return false;
    }

    private void grant(long id, long bytes) {
        used += bytes;
        held.merge(id, bytes, Long::sum);
    }

    /**
     * More is held under an id than was asked for: an answer's body, known only once it has come.
     */
    public void reserve(long id, long bytes) {
        grant(id, bytes);
    }

    /** Gives back all of an id, waiting or held; tells whom that lets in. */
    public void release(long id, LongConsumer granted) {
        line.removeIf(w -> w.id() == id);
        Long bytes = held.remove(id);
        if (bytes != null) {
            used -= bytes;
        }
        while (!line.isEmpty() && used + line.peek().bytes() <= room(line.peek().bytes())) {
            Waiting next = line.poll();
            grant(next.id(), next.bytes());
            granted.accept(next.id());
        }
    }
}
