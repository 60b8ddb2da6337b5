package waytrestle.http;

/**
 * Bytes of messages being read on many connections, within one bound. Past it whoever holds more
 * than an equal share must give way, so that a few without end cost the many small ones nothing.
 */
public final class FairByteLimit {
    private final long most;
    private long used;
    private int holders;

    public FairByteLimit(long most) {
        this.most = most;
    }

    /** Adds to what a holder has; false when it must give way instead. */
    public boolean tryReserve(long has, long more) {
        if (used + more > most && has + more > most / Math.max(1, holders)) {
            return false;
        }
        used += more;
        holders += has == 0 ? 1 : 0;
        return true;
    }

    public void release(long has) {
        used -= has;
        holders -= has > 0 ? 1 : 0;
    }

    public long usedBytes() {
        return used;
    }
}
