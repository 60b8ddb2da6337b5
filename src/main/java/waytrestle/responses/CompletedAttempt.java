package waytrestle.responses;

/**
 * The data of an ended attempt against which the invoker's reports are checked.
 *
 * @param latencyMicros time from the send of the attempt to its end
 * @param attemptsPresumedReceived number of attempts of this controller, the ended one included if
 *     old enough, that were in flight for so long that the invoker is presumed to have received
 *     them
 * @param declaredLoadMicros load time that the configuration declares for the function; 0 for none
 * @param declaredWorkMicros run time that the configuration declares for the function; 0 for none
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
