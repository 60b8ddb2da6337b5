package waytrestle.net;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;

/**
 * Reads and writes on a non-blocking socket with every outcome told apart. What the JDK makes of
 * each error of the kernel is in docs/system-faults.md, found by {@code JdkSystemCallTest}.
 */
final class SocketTransfers {
    /** What the JDK's channels return at the peer's end. */
    private static final int END_OF_STREAM = -1;

    /**
     * Calls in a row that a signal may interrupt before the transfer counts as failed. Guards
     * against a loop without end where every call is interrupted.
     */
    private static final int MAX_INTERRUPTED_CALLS = 8;

    /** One call on a channel. */
    private interface Call {
        long run() throws IOException;
    }

    private SocketTransfers() {}

    /** Reads what has come, as far as the buffer holds it. */
    static Transfer read(SocketChannel channel, ByteBuffer into) {
        try {
            return transfer(() -> channel.read(into));
        } catch (SocketException | ClosedChannelException e) {
            // The JDK remembers a reset: no later read on this channel gives anything else.
            return Transfer.broken(e);
        } catch (IOException e) {
            return Transfer.failed(e);
        }
    }

    /** Writes what the kernel takes now. */
    static Transfer write(SocketChannel channel, ByteBuffer[] buffers) {
        try {
            return transfer(() -> channel.write(buffers));
        } catch (ClosedChannelException e) {
            return Transfer.broken(e);
        } catch (IOException e) {
            return Transfer.failed(e);
        }
    }

    /** An interrupted call returns a negative number other than that of the peer's end. */
    private static Transfer transfer(Call call) throws IOException {
        for (int i = 0; i < MAX_INTERRUPTED_CALLS; i++) {
            long count = call.run();
            if (count > 0) {
                return Transfer.progress(count);
            }
            if (count == 0) {
                return Transfer.WOULD_BLOCK;
            }
            if (count == END_OF_STREAM) {
                return Transfer.ENDED;
            }
        }
        return Transfer.failed(new InterruptedIOException("interrupted again and again"));
    }
}
