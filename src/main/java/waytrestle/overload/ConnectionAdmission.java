package waytrestle.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Which connections are taken: so many in all, and so many from one source network, counted by
 * prefix. A network on the list of trusted ones is bound by the total alone, one on the list of
 * barred ones is never taken.
 *
 * <p>Guards against one place holding all connections, idle, slow or half-open, with or without ill
 * will.
 */
public final class ConnectionAdmission {
    /** Why a connection is turned away. */
    public enum Reason {
        TOTAL,
        NETWORK,
        BARRED
    }

    /** What the address sets say of a source. */
    public enum TrustLevel {
        TRUSTED,
        ORDINARY,
        BARRED
    }

    private final int total, each;
    private final Map<String, Integer> open = new HashMap<>();
    private int all;

    public ConnectionAdmission(int total, int eachNetwork) {
        this.total = total;
        this.each = eachNetwork;
    }

    public int open() {
        return all;
    }

    /** Takes a connection (null) or says why not. */
    public Reason tryAdmit(String network, TrustLevel standing) {
        if (standing == TrustLevel.BARRED) {
            return Reason.BARRED;
        }
        if (all >= total) {
            return Reason.TOTAL;
        }
        int now = open.getOrDefault(network, 0);
        if (standing == TrustLevel.ORDINARY && now >= each) {
            return Reason.NETWORK;
        }
        open.put(network, now + 1);
        all++;
        return null;
    }

    public void release(String network) {
        all--;
        open.computeIfPresent(network, (n, count) -> count > 1 ? count - 1 : null);
    }
}
