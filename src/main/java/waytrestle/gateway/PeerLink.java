package waytrestle.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.Map;
import java.util.function.BiConsumer;
import waytrestle.net.Loop;

/**
 * Short messages between controllers over UDP: a mark, the sender's number, the message. They may be lost, and a
 * message from an address that is not that controller's is dropped.
 */
final class PeerLink {
    static final int MOST = 256;  // bytes of a message, as the module is promised
    private static final int MARK = 0x77747231;

    private final int me;
    private final Map<Integer, InetSocketAddress> peers;
    private final DatagramChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(MOST + 9);
    private long dropped;

    PeerLink(Loop loop, int me, InetSocketAddress listen, Map<Integer, InetSocketAddress> peers,
            BiConsumer<Integer, byte[]> said) throws IOException {
        this.me = me;
        this.peers = peers;
        this.channel = DatagramChannel.open().bind(listen);
        loop.register(channel, SelectionKey.OP_READ, key -> {
            for (int i = 0; i < 64; i++) {
                in.clear();
                SocketAddress from = channel.receive(in);
                if (from == null) {
                    return;
                }
                in.flip();
                if (in.remaining() < 8 || in.remaining() > MOST + 8 || in.getInt() != MARK) {
                    dropped++;
                    continue;
                }
                int peer = in.getInt();
                if (!from.equals(this.peers.get(peer))) {
                    dropped++;
                    continue;
                }
                byte[] message = new byte[in.remaining()];
                in.get(message);
                said.accept(peer, message);
            }
        });
    }

    long dropped() {
        return dropped;
    }

    /** Peer -1 addresses all; what the kernel does not take now is lost, as promised. */
    void tell(int peer, byte[] message) {
        if (message.length > MOST) {
            dropped++;
            return;
        }
        for (Map.Entry<Integer, InetSocketAddress> each : peers.entrySet()) {
            if (peer < 0 || each.getKey() == peer) {
                ByteBuffer out = ByteBuffer.allocate(8 + message.length).putInt(MARK).putInt(me).put(message).flip();
                try {
                    if (channel.send(out, each.getValue()) == 0) {
                        dropped++;
                    }
                } catch (IOException e) {
                    dropped++;
                }
            }
        }
    }
}
