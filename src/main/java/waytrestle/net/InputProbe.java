package waytrestle.net;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * Looks at what the kernel holds for a connection outside its usual reads. Its buffers are those of
 * the loop, so that a look allocates nothing.
 *
 * <p>Not thread-safe: used on the loop's thread.
 */
final class InputProbe {
    /** Bytes behind a message that are looked at to tell what they are. */
    private static final int MAX_FOLLOWING_BYTES = 256;

    private final ByteBuffer oneByte = ByteBuffer.allocateDirect(1);
    private final ByteBuffer following = ByteBuffer.allocateDirect(MAX_FOLLOWING_BYTES);

    /** Returns the state of an idle connection; reads and discards up to one byte. */
    IdleState checkIdle(SocketChannel channel) {
        return IdleState.ofRead(SocketTransfers.read(channel, oneByte.clear()));
    }

    /**
     * Returns the first bytes of what remains in a buffer followed by what the kernel holds, which
     * it reads and discards. Reads until nothing is left, since a read may return less than the
     * kernel holds.
     *
     * @param offered input that was read before; its position is not changed
     */
    ByteBuffer readFollowing(SocketChannel channel, ByteBuffer offered) {
        following.clear();
        int copied = Math.min(offered.remaining(), following.remaining());
        following.put(offered.slice(offered.position(), copied));
        boolean progressed = true;
        while (progressed && following.hasRemaining()) {
            progressed = SocketTransfers.read(channel, following).hasProgressed();
        }
        return following.flip();
    }
}
