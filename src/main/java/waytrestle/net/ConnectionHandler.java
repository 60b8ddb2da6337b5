package waytrestle.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Callbacks, all on the loop. After {@code closed} there are none. */
public interface ConnectionHandler {
    /** The connection has come up. */
    default void connected() {}

    /** Takes what it wants from the buffer; what remains is kept. */
    void received(ByteBuffer in);

    /** All output has gone. */
    default void outputWritten() {}

    /**
     * More is kept unread than may be: reading has stopped, and the peer's going would not be seen.
     */
    default void unreadInputFull() {}

    /** The peer closed (null), or the connection broke. */
    void closed(IOException why);
}
