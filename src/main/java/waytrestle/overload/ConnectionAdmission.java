package waytrestle.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits connections up to a total, and up to a limit for each source network, counted by address
 * prefix. A trusted network is bound by the total alone; a barred one is never admitted.
 *
 * <p>Guards against one source that takes all connections, idle, slow or half-open, whether it
 * means harm or not.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConnectionAdmission {
    /** Why a connection is rejected. */
    public enum Reason {
        /** All connections are taken. */
        TOTAL,
        /** All connections of its source network are taken. */
        NETWORK,
        /** Its source is on the list of barred ones. */
        BARRED
    }

    /** How the configured address lists classify a source. */
    public enum TrustLevel {
        /** Exempt from the limit of its network. */
        TRUSTED,
        /** On no list. */
        ORDINARY,
        /** Never admitted. */
        BARRED
    }

    private final int maxConnections;
    private final int maxPerNetwork;
    private final Map<String, Integer> connectionsByNetwork = new HashMap<>();
    private int connections;

    /** An admission without open connections. */
    public ConnectionAdmission(int maxConnections, int maxPerNetwork) {
        this.maxConnections = maxConnections;
        this.maxPerNetwork = maxPerNetwork;
    }

    /** The number of open connections. */
    public int openConnections() {
        return connections;
    }

    /**
     * Admits a connection where the limits allow it.
     *
     * @return null where it is admitted, else why it is rejected
     */
    public Reason tryAdmit(String network, TrustLevel trustLevel) {
        if (trustLevel == TrustLevel.BARRED) {
            return Reason.BARRED;
        }
        if (connections >= maxConnections) {
            return Reason.TOTAL;
        }
        int ofNetwork = connectionsByNetwork.getOrDefault(network, 0);
        if (trustLevel == TrustLevel.ORDINARY && ofNetwork >= maxPerNetwork) {
            return Reason.NETWORK;
        }
        connectionsByNetwork.put(network, ofNetwork + 1);
        connections++;
        return null;
    }

    /** Records that an admitted connection of this network was closed. */
    public void release(String network) {
        connections--;
        connectionsByNetwork.computeIfPresent(
                network, (name, count) -> count > 1 ? count - 1 : null);
    }
}
