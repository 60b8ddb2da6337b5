package waytrestle.http;

/**
 * Limits on the size and duration of the messages that a peer sends, per connection.
 *
 * @param startLineBytes longest request or status line
 * @param headerCount most header lines of one message
 * @param headerBytes most bytes of all header lines of one message, trailers included
 * @param bodyBytes largest body, without chunk framing
 * @param headMicros longest time for a server to receive a request's head after its first byte
 * @param bodyMicros longest time for a server to receive a request's body after its head
 * @param idleMicros time after which a server closes a connection between requests
 * @param writeMicros longest time without progress while a server writes a response
 */
public record HttpLimits(
        int startLineBytes,
        int headerCount,
        int headerBytes,
        int bodyBytes,
        long headMicros,
        long bodyMicros,
        long idleMicros,
        long writeMicros) {
    /** The limits where the settings give none. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(
                    8 * 1024,
                    100,
                    32 * 1024,
                    1 << 20,
                    10_000_000,
                    30_000_000,
                    60_000_000,
                    30_000_000);
}
