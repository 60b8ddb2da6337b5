package waytrestle.http;

import java.net.InetAddress;
import java.util.function.LongConsumer;

/**
 * Says which connections are taken and when a body may be read; what it decides by is not the
 * server's matter.
 */
public interface ServerAdmission {
    /** Takes so many connections at once, and any body. */
    static ServerAdmission withConnectionLimit(int connections) {
        return new ServerAdmission() {
            private int open;

            @Override
            public String tryAdmit(InetAddress from) {
                if (open >= connections) {
                    return "connections";
                }
                open++;
                return null;
            }

            @Override
            public void connectionClosed(InetAddress from) {
                open--;
            }
        };
    }

    /** Takes a connection (null) or says why not. */
    String tryAdmit(InetAddress from);

    void connectionClosed(InetAddress from);

    /** Whether a body of so many bytes can ever be read. */
    default boolean canEverReserve(long bytes) {
        return true;
    }

    /** Asks to hold so many bytes; when false the server waits until it is granted. */
    default boolean tryReserve(long connection, long bytes) {
        return true;
    }

    default void reserve(long connection, long bytes) {}

    /** Gives back all that a connection holds; those let in by it are told to the server. */
    default void release(long connection, LongConsumer granted) {}
}
