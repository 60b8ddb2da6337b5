package waytrestle.gateway;

import java.net.InetAddress;
import java.util.function.LongConsumer;
import waytrestle.config.GatewayConfig;
import waytrestle.config.NetworkSet;
import waytrestle.http.ServerAdmission;
import waytrestle.overload.ByteBudget;
import waytrestle.overload.ConnectionAdmission;
import waytrestle.overload.ConnectionAdmission.TrustLevel;

/** Puts connections and bodies before the modules that bound them. */
final class ConnectionGuard implements ServerAdmission {
    private final GatewayConfig.ConnectionLimits edge;
    private final ConnectionAdmission gate;
    private final ByteBudget budget;
    private final NetworkSet trusted, barred;

    ConnectionGuard(GatewayConfig config) {
        edge = config.connectionLimits();
        gate = new ConnectionAdmission(config.maxConnections(), edge.maxPerNetwork());
        budget = new ByteBudget(edge.maxTotalBodyBytes());
        trusted = new NetworkSet(edge.trustedNetworks());
        barred = new NetworkSet(edge.barredNetworks());
    }

    private String network(InetAddress from) {
        return NetworkSet.networkOf(from, edge.ipv4PrefixBits(), edge.ipv6PrefixBits());
    }

    @Override
    public String tryAdmit(InetAddress from) {
        TrustLevel standing =
                barred.contains(from)
                        ? TrustLevel.BARRED
                        : trusted.contains(from) ? TrustLevel.TRUSTED : TrustLevel.ORDINARY;
        ConnectionAdmission.Reason reason = gate.tryAdmit(network(from), standing);
        return reason == null
                ? null
                : switch (reason) {
                    case TOTAL -> "connections";
                    case NETWORK -> "connections_of_network";
                    case BARRED -> "barred";
                };
    }

    @Override
    public void connectionClosed(InetAddress from) {
        gate.release(network(from));
    }

    @Override
    public boolean canEverReserve(long bytes) {
        return budget.canEverReserve(bytes);
    }

    @Override
    public boolean tryReserve(long connection, long bytes) {
        return budget.tryReserve(connection, bytes);
    }

    @Override
    public void reserve(long connection, long bytes) {
        budget.reserve(connection, bytes);
    }

    @Override
    public void release(long connection, LongConsumer granted) {
        budget.release(connection, granted);
    }

    long reservedBodyBytes() {
        return budget.reservedBytes();
    }

    int waitingBodies() {
        return budget.pendingReservations();
    }
}
