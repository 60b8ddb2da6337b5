package waytrestle.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.Callable;

/**
 * A program that the shim is loaded into: makes each system call fail with each error, through the
 * JDK's channels, and prints a line for each of what the JDK hands on, then what the next call on
 * the same channel gives.
 */
public final class JdkProbe {
    private static final Errno[] ERRORS = {
        Errno.EINTR,
        Errno.EAGAIN,
        Errno.EIO,
        Errno.ENOMEM,
        Errno.ENOBUFS,
        Errno.ECONNRESET,
        Errno.EPIPE,
        Errno.ETIMEDOUT,
        Errno.EHOSTUNREACH,
        Errno.ENETUNREACH,
        Errno.ENETDOWN,
        Errno.ENOTCONN,
        Errno.EADDRNOTAVAIL,
        Errno.ECONNREFUSED,
        Errno.ECONNABORTED,
        Errno.EMFILE,
        Errno.ENFILE,
        Errno.EPROTO,
        Errno.EPERM
    };
    private static final long SETTLE_MILLIS = 20;

    private final FaultPlan plan;
    private final ServerSocketChannel server;

    private JdkProbe(FaultPlan plan) throws IOException {
        this.plan = plan;
        this.server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.configureBlocking(false);
    }

    /** Prints the table. */
    public static void main(String[] args) throws Exception {
        Path file = Path.of(System.getenv(FaultPlan.FILE_VARIABLE));
        JdkProbe probe = new JdkProbe(new FaultPlan(file));
        for (Errno error : ERRORS) {
            probe.read(error);
            probe.write(error);
            probe.connect(error);
            probe.finishConnect(error);
            probe.accept(error);
            probe.option(error);
            probe.register(error);
            probe.select(error);
            probe.shutdown(error);
        }
    }

    private void print(String call, Errno error, Callable<Object> first, Callable<Object> next) {
        String failed = outcome(first);
        plan.set();
        System.out.println(call + " " + error + ": " + failed + "; then " + outcome(next));
    }

    private static String outcome(Callable<Object> call) {
        try {
            return String.valueOf(call.call());
        } catch (Exception | Error e) {
            return e.getClass().getSimpleName() + "(" + e.getMessage() + ")";
        }
    }

    private SocketChannel[] pair() throws Exception {
        SocketChannel client = SocketChannel.open(server.getLocalAddress());
        Thread.sleep(SETTLE_MILLIS);
        SocketChannel accepted = server.accept();
        accepted.configureBlocking(false);
        return new SocketChannel[] {client, accepted};
    }

    private void read(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        pair[0].write(ByteBuffer.wrap(new byte[5]));
        Thread.sleep(SETTLE_MILLIS);
        plan.set(FaultRule.once(SystemCall.READ, DescriptorKind.ACCEPTED, error));
        ByteBuffer in = ByteBuffer.allocate(10);
        print("read", error, () -> pair[1].read(in), () -> pair[1].read(in));
    }

    private void write(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        plan.set(FaultRule.once(SystemCall.WRITE, DescriptorKind.ACCEPTED, error));
        ByteBuffer[] out = {ByteBuffer.allocate(3), ByteBuffer.allocate(4)};
        print("write", error, () -> pair[1].write(out), () -> pair[1].write(out));
    }

    private void connect(Errno error) throws Exception {
        SocketChannel client = SocketChannel.open();
        client.configureBlocking(false);
        plan.set(FaultRule.once(SystemCall.CONNECT, DescriptorKind.CONNECTED, error));
        print(
                "connect",
                error,
                () -> client.connect(server.getLocalAddress()),
                () -> client.finishConnect() + " " + client.write(ByteBuffer.allocate(1)));
        drainAccepted();
    }

    private void finishConnect(Errno error) throws Exception {
        SocketChannel client = SocketChannel.open();
        client.configureBlocking(false);
        client.connect(server.getLocalAddress());
        Thread.sleep(SETTLE_MILLIS);
        plan.set(FaultRule.once(SystemCall.SOCKET_ERROR, DescriptorKind.CONNECTED, error));
        print(
                "finishConnect",
                error,
                client::finishConnect,
                () -> client.finishConnect() + " " + client.write(ByteBuffer.allocate(1)));
        drainAccepted();
    }

    private void accept(Errno error) throws Exception {
        SocketChannel.open(server.getLocalAddress());
        Thread.sleep(SETTLE_MILLIS);
        plan.set(FaultRule.once(SystemCall.ACCEPT, DescriptorKind.LISTENING, error));
        print("accept", error, () -> server.accept() != null, () -> server.accept() != null);
        drainAccepted();
    }

    private void drainAccepted() throws Exception {
        Thread.sleep(SETTLE_MILLIS);
        while (server.accept() != null) {
            // not needed
        }
    }

    private void option(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        plan.set(FaultRule.once(SystemCall.SETSOCKOPT, DescriptorKind.ACCEPTED, error));
        print(
                "setOption",
                error,
                () -> pair[1].setOption(StandardSocketOptions.TCP_NODELAY, true) != null,
                () -> pair[1].setOption(StandardSocketOptions.TCP_NODELAY, true) != null);
    }

    private void register(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        pair[0].write(ByteBuffer.wrap(new byte[5]));
        try (Selector selector = Selector.open()) {
            plan.set(FaultRule.once(SystemCall.EPOLL_CTL, DescriptorKind.ACCEPTED, error));
            SelectionKey key = pair[1].register(selector, SelectionKey.OP_READ);
            print(
                    "register",
                    error,
                    () -> selector.select(SETTLE_MILLIS),
                    () -> {
                        key.interestOps(0);
                        selector.selectNow();
                        key.interestOps(SelectionKey.OP_READ);
                        return selector.select(SETTLE_MILLIS) + " after registering anew";
                    });
        }
    }

    private void select(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        pair[0].write(ByteBuffer.wrap(new byte[5]));
        try (Selector selector = Selector.open()) {
            pair[1].register(selector, SelectionKey.OP_READ);
            plan.set(FaultRule.once(SystemCall.EPOLL_WAIT, DescriptorKind.ANY, error));
            print("select", error, selector::selectNow, selector::selectNow);
        }
    }

    private void shutdown(Errno error) throws Exception {
        SocketChannel[] pair = pair();
        plan.set(FaultRule.once(SystemCall.SHUTDOWN, DescriptorKind.ACCEPTED, error));
        print(
                "shutdownOutput",
                error,
                () -> pair[1].shutdownOutput() != null,
                () -> pair[1].shutdownOutput() != null);
    }
}
