package waytrestle.controller;

/**
 * Until when the endpoint list may be acted on by itself: the drain grace after all that service
 * discovery holds counts as received here.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointListExpiry {
    private final long drainGraceMicros;
    private long receivedAtMicros = Long.MAX_VALUE;

    EndpointListExpiry(long drainGraceMicros) {
        this.drainGraceMicros = drainGraceMicros;
    }

    /** Sets when all that service discovery holds counts as received; MAX_VALUE while it does. */
    void setReceivedAt(long micros) {
        receivedAtMicros = micros;
    }

    /** Whether the list has been outdated for longer than the grace. */
    boolean isExpired(long nowMicros) {
        return nowMicros - drainGraceMicros > receivedAtMicros;
    }
}
