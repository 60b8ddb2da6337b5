package waytrestle.config;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork.IPAddressGenerator;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.format.util.DualIPv4v6Tries;
import java.net.InetAddress;
import java.util.List;

/**
 * A set of IPv4 and IPv6 networks. An IPv4 address that is mapped into IPv6 counts as the IPv4
 * address.
 */
public final class NetworkSet {
    private final DualIPv4v6Tries networks = new DualIPv4v6Tries();

    /**
     * Creates a set of networks.
     *
     * @param texts networks in CIDR notation or single addresses, each valid by {@link #isValid}
     */
    public NetworkSet(List<String> texts) {
        texts.forEach(text -> networks.add(new IPAddressString(text).getAddress().toPrefixBlock()));
    }

    /** Returns whether a text is a network in CIDR notation or a single numeric address. */
    public static boolean isValid(String text) {
        IPAddressString parsed = new IPAddressString(text);
        return parsed.isIPAddress()
                && !parsed.isAllAddresses()
                && !parsed.isEmpty()
                && parsed.getAddress() != null
                && text.matches("[0-9a-fA-F.:]+(/\\d{1,3})?");
    }

    private static IPAddress normalize(InetAddress inetAddress) {
        IPAddress address = new IPAddressGenerator().from(inetAddress);
        return address.isIPv4Convertible() ? address.toIPv4() : address;
    }

    /** Returns whether an address lies in one of the networks. */
    public boolean contains(InetAddress address) {
        return networks.elementContains(normalize(address));
    }

    /**
     * Returns the network of an address in CIDR notation.
     *
     * @param ipv4PrefixBits prefix length of the network of an IPv4 address
     * @param ipv6PrefixBits prefix length of the network of an IPv6 address
     */
    public static String networkOf(
            InetAddress inetAddress, int ipv4PrefixBits, int ipv6PrefixBits) {
        IPAddress address = normalize(inetAddress);
        return address.toPrefixBlock(address.isIPv4() ? ipv4PrefixBits : ipv6PrefixBits)
                .toCanonicalString();
    }
}
