package waytrestle.scheduler;

/**
 * The belief that an invoker holds instances of a function, from this controller's own sends and
 * responses.
 */
final class FunctionInstance {
    final FunctionState function;
    int count = 1;

    /** Own attempts in flight there for the function. */
    int inFlight;

    /** Other controllers' requests for the function there, averaged. */
    double otherRequests;

    long lastUsedAt;

    /** When its load began; 0 once it is loaded. */
    long loadingSince;

    /** Probability that it has to be loaded at all, while it counts as loading. */
    double loadProbability = 1;

    /** Whether a preload request for it is in flight. */
    boolean preloadInFlight;

    FunctionInstance(FunctionState function, long nowMicros) {
        this.function = function;
        this.loadingSince = nowMicros;
        this.lastUsedAt = nowMicros;
    }

    boolean isLoading() {
        return loadingSince > 0;
    }
}
