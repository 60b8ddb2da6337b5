package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the text form of socket addresses. */
class SocketAddressesTest {
    @Test
    void formatReturnsTheTextThatWasParsed() {
        for (String text : List.of("127.0.0.1:80", "[0:0:0:0:0:0:0:1]:443")) {
            assertEquals(
                    text, SocketAddresses.format(SocketAddresses.parse(text).orElseThrow()), text);
        }
    }

    @Test
    void parseRejectsHostNamesIncompleteAddressesAndPortsAboveTheMaximum() {
        for (String text : List.of("", "80", ":80", "host:80", "127.0.0.1:", "127.0.0.1:99999")) {
            assertTrue(SocketAddresses.parse(text).isEmpty(), text);
        }
    }

    @Test
    void parseRejectsAnIpv6AddressWithoutBracketsAndFormatAddsThem() {
        for (String text : List.of("::1:80", "[::1:80", "::1]:80")) {
            assertTrue(SocketAddresses.parse(text).isEmpty(), text);
        }
        assertEquals("[::1]:80", SocketAddresses.format("::1", 80));
    }
}
