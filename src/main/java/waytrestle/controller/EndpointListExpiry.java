package waytrestle.controller;

/**
 * Tells until when new work may be sent by the endpoint list alone: for the drain grace after the
 * time when every change that service discovery holds counts as received by this controller.
 * Afterwards an invoker that is listed as ready may be one that must get no new work. Times are
 * microseconds on the clock of {@link Transport}.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointListExpiry {
    private final long drainGraceMicros;
    private long receivedAtMicros = Long.MAX_VALUE;

    EndpointListExpiry(long drainGraceMicros) {
        this.drainGraceMicros = drainGraceMicros;
    }

    /**
     * Sets when every change that service discovery holds counts as received; {@link
     * Long#MAX_VALUE}, the initial value, where there is no such time.
     */
    void setReceivedAt(long listReceivedAtMicros) {
        receivedAtMicros = listReceivedAtMicros;
    }

    /** Returns whether the endpoint list has been outdated for longer than the drain grace. */
    boolean isExpired(long nowMicros) {
        return nowMicros - drainGraceMicros > receivedAtMicros;
    }
}
