package waytrestle.gateway;

import java.net.InetAddress;
import java.util.function.LongConsumer;
import waytrestle.config.GatewayConfig;
import waytrestle.config.NetworkSet;
import waytrestle.http.ServerAdmission;
import waytrestle.overload.ByteBudget;
import waytrestle.overload.ConnectionAdmission;
import waytrestle.overload.ConnectionAdmission.TrustLevel;

/**
 * Applies the configured limits to client connections and to the bodies on them.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ConnectionGuard implements ServerAdmission {
    private final GatewayConfig.ConnectionLimits limits;
    private final ConnectionAdmission admission;
    private final ByteBudget bodyBudget;
    private final NetworkSet trustedNetworks, barredNetworks;

    ConnectionGuard(GatewayConfig config) {
        limits = config.connectionLimits();
        admission = new ConnectionAdmission(config.maxConnections(), limits.maxPerNetwork());
        bodyBudget = new ByteBudget(limits.maxTotalBodyBytes());
        trustedNetworks = new NetworkSet(limits.trustedNetworks());
        barredNetworks = new NetworkSet(limits.barredNetworks());
    }

    private String networkOf(InetAddress source) {
        return NetworkSet.networkOf(source, limits.ipv4PrefixBits(), limits.ipv6PrefixBits());
    }

    @Override
    public String tryAdmit(InetAddress source) {
        TrustLevel trustLevel =
                barredNetworks.contains(source)
                        ? TrustLevel.BARRED
                        : trustedNetworks.contains(source)
                                ? TrustLevel.TRUSTED
                                : TrustLevel.ORDINARY;
        ConnectionAdmission.Reason reason = admission.tryAdmit(networkOf(source), trustLevel);
        return reason == null
                ? null
                : switch (reason) {
                    case TOTAL -> "connections";
                    case NETWORK -> "connections_of_network";
                    case BARRED -> "barred";
                };
    }

    @Override
    public void connectionClosed(InetAddress source) {
        admission.release(networkOf(source));
    }

    @Override
    public boolean canEverReserve(long bytes) {
        return bodyBudget.canEverReserve(bytes);
    }

    @Override
    public boolean tryReserve(long connection, long bytes) {
        return bodyBudget.tryReserve(connection, bytes);
    }

    @Override
    public void reserve(long connection, long bytes) {
        bodyBudget.reserve(connection, bytes);
    }

    @Override
    public void release(long connection, LongConsumer onReserved) {
        bodyBudget.release(connection, onReserved);
    }

    /** Returns the number of bytes reserved for bodies on all connections. */
    long reservedBodyBytes() {
        return bodyBudget.reservedBytes();
    }

    /** Returns the number of bodies that are not read yet because the byte budget is used up. */
    int waitingBodies() {
        return bodyBudget.pendingReservations();
    }
}
