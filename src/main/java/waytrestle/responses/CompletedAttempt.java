package waytrestle.responses;

/**
 * An attempt at its end, as far as reports are checked against it.
 *
 * @param latencyMicros time from its send to its end
 * @param attemptsPresumedReceived attempts of this controller that the invoker must have had in
 *     hand
 * @param declaredLoadMicros load time that the configuration declares for the function; 0 for none
 * @param declaredWorkMicros run time that it declares; 0 for none
 */
record CompletedAttempt(
        String invoker,
        ResponseKind kind,
        long sentAtMicros,
        long latencyMicros,
        int attemptsPresumedReceived,
        long declaredLoadMicros,
        long declaredWorkMicros) {
    boolean served() {
        return kind == ResponseKind.SERVED;
    }
}
