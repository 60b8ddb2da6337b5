package waytrestle.net;

import java.io.IOException;

/**
 * Thrown when this process cannot open a further socket at the moment. No connection was tried, so
 * it says nothing about the peer.
 */
public final class NoSocketException extends IOException {
    private static final long serialVersionUID = 1L;

    NoSocketException(Exception cause) {
        super("cannot open a socket: " + cause.getMessage(), cause);
    }
}
