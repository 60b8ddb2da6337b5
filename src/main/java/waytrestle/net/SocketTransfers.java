package waytrestle.net;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;

/**
 * Reads and writes on a non-blocking socket and returns each possible result as a {@link Transfer}.
 * docs/system-faults.md lists how the JDK reports each error of the kernel; {@code
 * JdkSystemCallTest} determines it.
 */
final class SocketTransfers {
    /** Returned by the JDK's channels when the peer has ended its side. */
    private static final int END_OF_STREAM = -1;

    /**
     * Number of calls in a row that are interrupted by signals after which the transfer counts as
     * failed. Guards against an endless loop when every call is interrupted.
     */
    private static final int MAX_INTERRUPTED_CALLS = 8;

    /** A read or write on a channel. */
    private interface Call {
        /** Returns what the channel's read or write returns. */
        long run() throws IOException;
    }

    private SocketTransfers() {}

    /** Reads what the kernel holds, as far as it fits the buffer. Does not wait. */
    static Transfer read(SocketChannel channel, ByteBuffer into) {
        try {
            return transfer(() -> channel.read(into));
        } catch (SocketException | ClosedChannelException e) {
            // After a reset the JDK throws this exception at every later read on the channel.
            return Transfer.broken(e);
        } catch (IOException e) {
            return Transfer.failed(e);
        }
    }

    /** Writes what the kernel takes now. Does not wait. */
    static Transfer write(SocketChannel channel, ByteBuffer[] buffers) {
        try {
            return transfer(() -> channel.write(buffers));
        } catch (ClosedChannelException e) {
            return Transfer.broken(e);
        } catch (IOException e) {
            return Transfer.failed(e);
        }
    }

    /**
     * Makes the call, again if a signal interrupts it: the JDK then returns a negative number other
     * than {@link #END_OF_STREAM}.
     */
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
        return Transfer.failed(
                new InterruptedIOException(
                        "interrupted " + MAX_INTERRUPTED_CALLS + " times in a row"));
    }
}
