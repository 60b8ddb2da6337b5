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
 * Sends and receives gossip, short messages between controllers, over UDP. Messages may be lost. A
 * received message is dropped if its source address is not that of a peer.
 *
 * <p>A framed datagram consists of a magic number, the sender's controller index (4 bytes each, big
 * endian) and the message. An unframed datagram is the message alone; its source address identifies
 * the sender.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class GossipSocket {
    /** Largest message; the scheduler relies on messages of this size being sent. */
    public static final int MAX_MESSAGE_BYTES = 256;

    private static final int FRAME_MAGIC = 0x77747231;
    private static final int MAX_MESSAGES_PER_TURN = 64;

    /**
     * Pause after a failed receive. Without it the event loop would spin, since the socket stays
     * ready while the kernel holds the datagram.
     */
    private static final long FAILED_RECEIVE_PAUSE_MICROS = 10_000;

    private final Loop loop;
    private final BiConsumer<Integer, byte[]> messageListener;
    private final Registration registration;

    private final int controllerIndex;

    /** Addresses of the other controllers, by controller index. */
    private Map<Integer, InetSocketAddress> peers;

    private final DatagramChannel channel;

    /**
     * Room for a frame with the largest message and one byte more, which shows that it is larger.
     */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES + 9);

    private final boolean framed;

    /** Where messages to all peers are sent; null to send them to each peer. */
    private InetSocketAddress allPeersAddress;

    private long droppedMessages;

    /**
     * Opens a socket for framed datagrams.
     *
     * @param peers addresses of the other controllers, by controller index
     * @param messageListener receives the sender's controller index and the message, on the event
     *     loop
     * @throws IOException if the socket cannot be opened or bound
     */
    GossipSocket(
            Loop loop,
            int controllerIndex,
            InetSocketAddress listenAddress,
            Map<Integer, InetSocketAddress> peers,
            BiConsumer<Integer, byte[]> messageListener)
            throws IOException {
        this(loop, controllerIndex, listenAddress, peers, null, true, messageListener);
    }

    /**
     * Opens a socket for unframed datagrams.
     *
     * @param peers addresses of the other controllers, by controller index
     * @param allPeersAddress where messages to all peers are sent; null to send them to each peer
     * @param messageListener receives the sender's controller index and the message, on the event
     *     loop
     * @throws IOException if the socket cannot be opened or bound
     */
    public static GossipSocket openUnframed(
            Loop loop,
            int controllerIndex,
            InetSocketAddress listenAddress,
            Map<Integer, InetSocketAddress> peers,
            InetSocketAddress allPeersAddress,
            BiConsumer<Integer, byte[]> messageListener)
            throws IOException {
        return new GossipSocket(
                loop,
                controllerIndex,
                listenAddress,
                peers,
                allPeersAddress,
                false,
                messageListener);
    }

    private GossipSocket(
            Loop loop,
            int controllerIndex,
            InetSocketAddress listenAddress,
            Map<Integer, InetSocketAddress> peers,
            InetSocketAddress allPeersAddress,
            boolean framed,
            BiConsumer<Integer, byte[]> messageListener)
            throws IOException {
        this.controllerIndex = controllerIndex;
        this.peers = peers;
        this.allPeersAddress = allPeersAddress;
        this.framed = framed;
        this.messageListener = messageListener;
        this.loop = loop;
        this.channel = DatagramChannel.open();
        try {
            channel.bind(listenAddress);
            registration = loop.register(channel, SelectionKey.OP_READ, ready -> receiveSome());
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private void receiveSome() {
        try {
            for (int i = 0; i < MAX_MESSAGES_PER_TURN && receiveOne(); i++) {
                // receiveOne has delivered or dropped the message
            }
        } catch (IOException e) {
            loop.faults().count("gossip.receive", "paused", e);
            registration.setOperations(0);
            loop.after(
                    FAILED_RECEIVE_PAUSE_MICROS,
                    () -> registration.setOperations(SelectionKey.OP_READ));
        }
    }

    /** Receives, then delivers or drops one datagram; returns false if there was none. */
    private boolean receiveOne() throws IOException {
        receiveBuffer.clear();
        SocketAddress source = channel.receive(receiveBuffer);
        if (source == null) {
            return false;
        }
        receiveBuffer.flip();
        if (framed) {
            deliverFramed(source);
        } else {
            deliverUnframed(source, messageListener);
        }
        return true;
    }

    private void deliverFramed(SocketAddress source) {
        if (receiveBuffer.remaining() < 8
                || receiveBuffer.remaining() > MAX_MESSAGE_BYTES + 8
                || receiveBuffer.getInt() != FRAME_MAGIC) {
            droppedMessages++;
            return;
        }
        int peer = receiveBuffer.getInt();
        if (!source.equals(peers.get(peer))) {
            droppedMessages++;
            return;
        }
        byte[] message = new byte[receiveBuffer.remaining()];
        receiveBuffer.get(message);
        messageListener.accept(peer, message);
    }

    private void deliverUnframed(
            SocketAddress source, BiConsumer<Integer, byte[]> messageListener) {
        for (Map.Entry<Integer, InetSocketAddress> peer : peers.entrySet()) {
            if (peer.getValue().equals(source) && receiveBuffer.remaining() <= MAX_MESSAGE_BYTES) {
                byte[] message = new byte[receiveBuffer.remaining()];
                receiveBuffer.get(message);
                messageListener.accept(peer.getKey(), message);
                return;
            }
        }
        droppedMessages++;
    }

    /**
     * Replaces the addresses of the other controllers.
     *
     * @param newPeers addresses by controller index
     * @param newAllPeersAddress where messages to all peers are sent; null to send them to each
     *     peer
     */
    public void updatePeers(
            Map<Integer, InetSocketAddress> newPeers, InetSocketAddress newAllPeersAddress) {
        peers = newPeers;
        allPeersAddress = newAllPeersAddress;
    }

    /** Returns the number of messages dropped in either direction. */
    long droppedMessages() {
        return droppedMessages;
    }

    /**
     * Sends a message. It is dropped if it is longer than {@link #MAX_MESSAGE_BYTES} or the kernel
     * does not accept it at once.
     *
     * @param peer index of the receiving controller; negative for all other controllers
     */
    public void send(int peer, byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            droppedMessages++;
            return;
        }
        if (peer < 0 && allPeersAddress != null) {
            send(message, allPeersAddress);
            return;
        }
        for (Map.Entry<Integer, InetSocketAddress> entry : peers.entrySet()) {
            if (peer < 0 || entry.getKey() == peer) {
                send(message, entry.getValue());
            }
        }
    }

    private void send(byte[] message, InetSocketAddress address) {
        ByteBuffer datagram =
                !framed
                        ? ByteBuffer.wrap(message)
                        : ByteBuffer.allocate(8 + message.length)
                                .putInt(FRAME_MAGIC)
                                .putInt(controllerIndex)
                                .put(message)
                                .flip();
        try {
            if (channel.send(datagram, address) == 0) {
                droppedMessages++;
            }
        } catch (IOException e) {
            droppedMessages++;
        }
    }
}
