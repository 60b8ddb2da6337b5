package waytrestle.scheduler;

/**
 * What a controller believes about the instances of one function at one invoker, from its own
 * attempts and preloads and the responses to them. Times are in microseconds on the scheduler's
 * clock.
 */
final class FunctionInstance {
    final FunctionState function;

    /** Number of instances believed to be at the invoker, loaded or loading. */
    int count = 1;

    /** This controller's attempts in flight at the invoker for the function. */
    int inFlight;

    /** Average number of other controllers' requests for the function at the invoker. */
    double otherRequests;

    /** When the instances were last known to be used; the keep-alive counts from then. */
    long lastUsedAt;

    /** When the load began; 0 once the function is loaded. */
    long loadingSince;

    /**
     * Probability that a load is under way while the function counts as loading; below 1 after an
     * attempt to an invoker that may have held an unknown instance.
     */
    double loadProbability = 1;

    /** Whether a preload request for the function to the invoker is in flight. */
    boolean preloadInFlight;

    FunctionInstance(FunctionState function, long nowMicros) {
        this.function = function;
        this.loadingSince = nowMicros;
        this.lastUsedAt = nowMicros;
    }

    /** Returns whether an attempt or a preload request of this controller is in flight. */
    boolean isInUse() {
        return inFlight > 0 || preloadInFlight;
    }

    /** Returns whether the function counts as still loading at the invoker. */
    boolean isLoading() {
        return loadingSince > 0;
    }
}
