package waytrestle.responses;

/**
 * An attempt that was sent and has not ended yet.
 *
 * @param concurrencyLevel how many requests of the function this controller had in flight at the
 *     invoker when the attempt was sent, this one included
 * @param aloneAtInvoker whether the invoker had no other attempts in flight when the attempt was
 *     sent, neither of other functions nor of other controllers
 */
record InFlightAttempt(
        String function,
        String invoker,
        long sentAtMicros,
        int concurrencyLevel,
        boolean aloneAtInvoker) {}
