package waytrestle.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Receives the events of one {@link Connection}, on its loop's thread. After {@code closed}, and
 * after this side has closed the connection at once, no method is called any more.
 */
public interface ConnectionHandler {
    /** Called when a connection that this process opened has been established. */
    default void connected() {}

    /**
     * Takes what it wants from the buffer by advancing its position. The connection keeps what
     * remains as unread input; the buffer must not be used after the call.
     */
    void received(ByteBuffer in);

    /** Called when the kernel has taken all queued output. */
    default void outputWritten() {}

    /**
     * Called when the unread input has reached its limit. The connection has stopped reading, so it
     * does not notice any more when the peer ends the connection.
     */
    default void unreadInputFull() {}

    /**
     * Called when the connection has ended without this side closing it at once.
     *
     * @param failure what failed; null if the peer ended the connection, or if all output was
     *     written after {@link Connection#closeWhenSent}
     */
    void closed(IOException failure);
}
