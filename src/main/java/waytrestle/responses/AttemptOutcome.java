package waytrestle.responses;

/**
 * How an attempt ended, and who took part.
 *
 * @param fromOutlier whether the invoker is suspected of a fault, so that its failures are no
 *     evidence against the function
 */
record AttemptOutcome(
        FunctionRecord function,
        String invoker,
        ResponseKind kind,
        ExchangeResult result,
        boolean fromOutlier) {}
