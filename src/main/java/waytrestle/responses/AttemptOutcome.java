package waytrestle.responses;

/**
 * The outcome of an attempt, with the function and the invoker that took part.
 *
 * @param fromOutlier whether the invoker is an outlier or ejected, so that its failures are no
 *     evidence against the function
 */
record AttemptOutcome(
        FunctionRecord function,
        String invoker,
        ResponseKind kind,
        ExchangeResult result,
        boolean fromOutlier) {}
