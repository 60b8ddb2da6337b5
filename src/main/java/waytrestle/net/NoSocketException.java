package waytrestle.net;

import java.io.IOException;

/** No connection was tried: this process can have no further socket now. */
public final class NoSocketException extends IOException {
    private static final long serialVersionUID = 1L;

    NoSocketException(Exception why) {
        super("no socket is to be had: " + why.getMessage(), why);
    }
}
