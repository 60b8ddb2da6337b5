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
import waytrestle.net.Registration;

/**
 * Short messages between controllers over UDP. They may be lost, and a message from an address that
 * is not a controller's is dropped. Framed ones begin with a mark and the sender's number; plain
 * ones are the message alone, told apart by their sender's address.
 */
public final class GossipSocket {
    public static final int MAX_MESSAGE_BYTES =
            256; // bytes of a message, as the module is promised
    private static final int MARK = 0x77747231;
    private static final int MAX_MESSAGES_PER_TURN = 64;

    /** Pause after a failed receive: a datagram that waits stays ready, and the loop would spin. */
    private static final long FAILED_RECEIVE_PAUSE_MICROS = 10_000;

    private final Loop loop;
    private final BiConsumer<Integer, byte[]> said;
    private final Registration registration;

    private final int me;
    private Map<Integer, InetSocketAddress> peers;
    private final DatagramChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(MAX_MESSAGE_BYTES + 9);
    private final boolean framed;
    private InetSocketAddress all;
    private long dropped;

    GossipSocket(
            Loop loop,
            int me,
            InetSocketAddress listen,
            Map<Integer, InetSocketAddress> peers,
            BiConsumer<Integer, byte[]> said)
            throws IOException {
        this(loop, me, listen, peers, null, true, said);
    }

    /** Plain datagrams; what is for all goes to one address, where there is one. */
    public static GossipSocket openUnframed(
            Loop loop,
            int me,
            InetSocketAddress listen,
            Map<Integer, InetSocketAddress> peers,
            InetSocketAddress all,
            BiConsumer<Integer, byte[]> said)
            throws IOException {
        return new GossipSocket(loop, me, listen, peers, all, false, said);
    }

    private GossipSocket(
            Loop loop,
            int me,
            InetSocketAddress listen,
            Map<Integer, InetSocketAddress> peers,
            InetSocketAddress all,
            boolean framed,
            BiConsumer<Integer, byte[]> said)
            throws IOException {
        this.me = me;
        this.peers = peers;
        this.all = all;
        this.framed = framed;
        this.said = said;
        this.loop = loop;
        this.channel = DatagramChannel.open();
        try {
            channel.bind(listen);
            registration = loop.register(channel, SelectionKey.OP_READ, ready -> receiveSome());
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private void receiveSome() {
        try {
            for (int i = 0; i < MAX_MESSAGES_PER_TURN && receiveOne(); i++) {
                // handed on
            }
        } catch (IOException e) {
            loop.faults().count("gossip.receive", "paused", e);
            registration.setOperations(0);
            loop.after(
                    FAILED_RECEIVE_PAUSE_MICROS,
                    () -> registration.setOperations(SelectionKey.OP_READ));
        }
    }

    /** Receives a message; false where none waits. */
    private boolean receiveOne() throws IOException {
        in.clear();
        SocketAddress from = channel.receive(in);
        if (from == null) {
            return false;
        }
        in.flip();
        if (framed) {
            framed(from);
        } else {
            openUnframed(from, said);
        }
        return true;
    }

    private void framed(SocketAddress from) {
        if (in.remaining() < 8 || in.remaining() > MAX_MESSAGE_BYTES + 8 || in.getInt() != MARK) {
            dropped++;
            return;
        }
        int peer = in.getInt();
        if (!from.equals(peers.get(peer))) {
            dropped++;
            return;
        }
        byte[] message = new byte[in.remaining()];
        in.get(message);
        said.accept(peer, message);
    }

    private void openUnframed(SocketAddress from, BiConsumer<Integer, byte[]> said) {
        for (Map.Entry<Integer, InetSocketAddress> each : peers.entrySet()) {
            if (each.getValue().equals(from) && in.remaining() <= MAX_MESSAGE_BYTES) {
                byte[] message = new byte[in.remaining()];
                in.get(message);
                said.accept(each.getKey(), message);
                return;
            }
        }
        dropped++;
    }

    /** The others are at these addresses from now on. */
    public void updatePeers(Map<Integer, InetSocketAddress> to, InetSocketAddress toAll) {
        peers = to;
        all = toAll;
    }

    long droppedMessages() {
        return dropped;
    }

    /** Peer -1 addresses all; what the kernel does not take now is lost, as promised. */
    public void send(int peer, byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            dropped++;
            return;
        }
        if (peer < 0 && all != null) {
            send(message, all);
            return;
        }
        for (Map.Entry<Integer, InetSocketAddress> each : peers.entrySet()) {
            if (peer < 0 || each.getKey() == peer) {
                send(message, each.getValue());
            }
        }
    }

    private void send(byte[] message, InetSocketAddress to) {
        ByteBuffer out =
                !framed
                        ? ByteBuffer.wrap(message)
                        : ByteBuffer.allocate(8 + message.length)
                                .putInt(MARK)
                                .putInt(me)
                                .put(message)
                                .flip();
        try {
            if (channel.send(out, to) == 0) {
                dropped++;
            }
        } catch (IOException e) {
            dropped++;
        }
    }
}
