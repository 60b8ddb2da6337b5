package waytrestle.config;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork.IPAddressGenerator;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.format.util.DualIPv4v6Tries;
import java.net.InetAddress;
import java.util.List;

/** Address sets, IPv4 and IPv6, and the networks that connections are counted by. */
public final class NetworkSet {
    private final DualIPv4v6Tries set = new DualIPv4v6Tries();

    public NetworkSet(List<String> written) {
        written.forEach(each -> set.add(new IPAddressString(each).getAddress().toPrefixBlock()));
    }

    /** Whether a text names a network or an address in figures. */
    public static boolean isValid(String text) {
        IPAddressString read = new IPAddressString(text);
        return read.isIPAddress()
                && !read.isAllAddresses()
                && !read.isEmpty()
                && read.getAddress() != null
                && text.matches("[0-9a-fA-F.:]+(/\\d{1,3})?");
    }

    private static IPAddress address(InetAddress of) {
        IPAddress address = new IPAddressGenerator().from(of);
        return address.isIPv4Convertible() ? address.toIPv4() : address;
    }

    public boolean contains(InetAddress address) {
        return set.elementContains(address(address));
    }

    /** The network that an address is counted by. */
    public static String networkOf(InetAddress of, int v4Prefix, int v6Prefix) {
        IPAddress address = address(of);
        return address.toPrefixBlock(address.isIPv4() ? v4Prefix : v6Prefix).toCanonicalString();
    }
}
