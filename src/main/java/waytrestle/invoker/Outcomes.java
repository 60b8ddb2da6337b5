package waytrestle.invoker;

import waytrestle.ControlApi.Code;
import waytrestle.http.HttpClient.Break;

/**
 * What the end of an exchange proves, in the module's codes. The line is the first byte of the request: before it
 * the invoker cannot have run anything, after it only an answer that says so proves that it did not.
 */
public final class Outcomes {
    private Outcomes() { }

    public static Code of(Break how) {
        return switch (how) {
            case NO_CONNECTION, BEFORE_FIRST_BYTE -> Code.CONNECT_FAILED;
            case AFTER_FIRST_BYTE -> Code.RESET;
            case MALFORMED -> Code.ERROR;      // something answered; whether it ran is unknown
            case TIMEOUT -> Code.TIMEOUT;
            case CANCELLED -> Code.CANCELLED;
            case NO_ROOM -> Code.FULL;         // this side's bound; nothing was sent
        };
    }

    public static Code ofStatus(int status) {
        return switch (status) {
            case 200 -> Code.OK;
            case 404 -> Code.MISS;
            case 429, 503 -> Code.FULL;
            default -> Code.ERROR;
        };
    }
}
