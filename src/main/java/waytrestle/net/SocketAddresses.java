package waytrestle.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses and formats socket addresses as text: {@code 127.0.0.1:8080} or {@code [::1]:8080}. */
public final class SocketAddresses {
    private static final Pattern PORT = Pattern.compile("\\d{1,5}");
    private static final Pattern IPV4_HOST = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}");
    private static final Pattern BRACKETED_IPV6_HOST = Pattern.compile("\\[[0-9a-fA-F:.]+]");
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an IP address with a port. Returns empty for any other text, also for a host name with
     * a port.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !PORT.matcher(text.substring(colon + 1)).matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        String host = text.substring(0, colon);
        if (port > MAX_PORT || !isIpAddress(host)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(host), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /**
     * Formats an address so that {@link #parse} reads it back. The text also serves as the id of
     * the invoker at this address.
     */
    public static String format(InetSocketAddress address) {
        return format(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Returns an IP address and a port joined by a colon; an IPv6 address is put in brackets. */
    public static String format(String ipAddress, int port) {
        boolean ipv6 = ipAddress.indexOf(':') >= 0;
        String host = ipv6 ? "[" + ipAddress + "]" : ipAddress;
        return host + ":" + port;
    }

    /** Returns the address of a channel's peer for the log, {@code unknown} on a closed channel. */
    static String remoteAddress(SocketChannel channel) {
        try {
            return String.valueOf(channel.getRemoteAddress());
        } catch (IOException e) {
            return "unknown";
        }
    }

    private static boolean isIpAddress(String host) {
        return IPV4_HOST.matcher(host).matches() || BRACKETED_IPV6_HOST.matcher(host).matches();
    }
}
