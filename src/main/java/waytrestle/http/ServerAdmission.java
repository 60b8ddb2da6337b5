package waytrestle.http;

import java.net.InetAddress;
import java.util.function.LongConsumer;

/**
 * Decides for an {@link HttpServer} which connections it accepts and when it may read a request
 * body. The server calls it on its event loop and reports each closed connection, so that an
 * implementation can count connections and bytes.
 */
public interface ServerAdmission {
    /** Returns an admission that limits the number of open connections and admits every body. */
    static ServerAdmission withConnectionLimit(int maxConnections) {
        return new ServerAdmission() {
            private int openConnections;

            @Override
            public String tryAdmit(InetAddress from) {
                if (openConnections >= maxConnections) {
                    return "connections";
                }
                openConnections++;
                return null;
            }

            @Override
            public void connectionClosed(InetAddress from) {
                openConnections--;
            }
        };
    }

    /**
     * Admits a new connection, or returns why it is rejected.
     *
     * @param from the client's address
     * @return null if the connection is admitted, otherwise the reason, under which the server
     *     counts the rejected connection
     */
    String tryAdmit(InetAddress from);

    /** Records that an admitted connection from the given address has closed. */
    void connectionClosed(InetAddress from);

    /** Returns whether a body of the given size fits the budget when no other body is held. */
    default boolean canEverReserve(long bytes) {
        return true;
    }

    /**
     * Reserves bytes for a body that is about to be read, or queues the reservation.
     *
     * @param connection the server's number of the connection
     * @return true if the bytes are reserved; false if the server must wait until a {@link
     *     #release} reports the connection as granted
     */
    default boolean tryReserve(long connection, long bytes) {
        return true;
    }

    /** Reserves bytes for a response body at once, even above the budget. */
    default void reserve(long connection, long bytes) {}

    /**
     * Releases all reservations of a connection.
     *
     * @param granted receives the number of each waiting connection whose queued reservation is
     *     granted by this release
     */
    default void release(long connection, LongConsumer granted) {}
}
