package waytrestle.responses;

/**
 * An attempt that was sent and has not ended yet.
 *
 * @param concurrencyLevel how many requests of the function this controller had in flight at the
 *     invoker when the attempt was sent, this one included
 * @param aloneAtInvoker whether nothing else was in flight there: no other function and no other
 *     controller
 */
record InFlightAttempt(
        String function,
        String invoker,
        long sentAtMicros,
        int concurrencyLevel,
        boolean aloneAtInvoker) {}
