package waytrestle.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits client connections up to a total limit and up to a limit for each source network. A source
 * network is an address prefix. Connections from trusted sources are subject only to the total
 * limit; those from barred sources are never admitted.
 *
 * <p>Guards against a single source, malicious or not, that occupies all connections with idle,
 * slow or half-open ones.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConnectionAdmission {
    /** Why a connection is rejected. */
    public enum Reason {
        /** The total limit is reached. */
        TOTAL,
        /** The limit of the source network is reached. */
        NETWORK,
        /** The source is on the configured list of barred addresses. */
        BARRED
    }

    /** How the configured address lists classify a source. */
    public enum TrustLevel {
        /** Exempt from the limit of the source network. */
        TRUSTED,
        /** Neither trusted nor barred. */
        ORDINARY,
        /** Never admitted. */
        BARRED
    }

    private final int maxConnections;
    private final int maxPerNetwork;
    private final Map<String, Integer> connectionsByNetwork = new HashMap<>();
    private int connections;

    /**
     * Creates an admission without open connections.
     *
     * @param maxConnections total limit of open connections
     * @param maxPerNetwork limit of open connections from one source network
     */
    public ConnectionAdmission(int maxConnections, int maxPerNetwork) {
        this.maxConnections = maxConnections;
        this.maxPerNetwork = maxPerNetwork;
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections;
    }

    /**
     * Admits a connection if its source and the limits allow it.
     *
     * @param network address prefix of the source
     * @return null if the connection is admitted, else the reason for its rejection
     */
    public Reason tryAdmit(String network, TrustLevel trustLevel) {
        if (trustLevel == TrustLevel.BARRED) {
            return Reason.BARRED;
        }
        if (connections >= maxConnections) {
            return Reason.TOTAL;
        }
        int networkConnections = connectionsByNetwork.getOrDefault(network, 0);
        if (trustLevel == TrustLevel.ORDINARY && networkConnections >= maxPerNetwork) {
            return Reason.NETWORK;
        }
        connectionsByNetwork.put(network, networkConnections + 1);
        connections++;
        return null;
    }

    /** Records that an admitted connection from the given network was closed. */
    public void release(String network) {
        connections--;
        connectionsByNetwork.computeIfPresent(
                network, (prefix, count) -> count > 1 ? count - 1 : null);
    }
}
