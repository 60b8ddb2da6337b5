package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;

/**
 * The cells of the fault matrix: each system call on sockets, with each error that Linux documents
 * for it, towards clients and invokers.
 */
final class FaultCells {
    /** How long a failure goes on. */
    enum Duration {
        /** One call fails. */
        ONCE,
        /** The third such call fails. */
        THIRD,
        /** Three calls in ten fail. */
        OFTEN,
        /** A descriptor fails for a moment. */
        MOMENT,
        /** One descriptor never works again. */
        FOR_GOOD
    }

    /**
     * One fault.
     *
     * @param passes whether it leaves connections good
     */
    record Cell(FaultRule rule, Duration duration, boolean passes) {
        /** Whether a client may meet it each time that it tries, so that no response reaches it. */
        boolean mayCutEveryTry() {
            return !passes && duration == Duration.OFTEN;
        }
    }

    private static final int MOMENT_MILLIS = 150;
    private static final int OFTEN_PERMILLE = 300;
    private static final int THIRD_SKIPS = 2;
    private static final int SHORT_BYTES = 3;

    private static final Errno[] TRANSFER_ERRORS = {
        Errno.SHORT_TRANSFER,
        Errno.EINTR,
        Errno.EAGAIN,
        Errno.EIO,
        Errno.ENOMEM,
        Errno.ENOBUFS,
        Errno.ETIMEDOUT,
        Errno.EHOSTUNREACH,
        Errno.ENETUNREACH,
        Errno.ENETDOWN,
        Errno.ENOTCONN,
        Errno.ECONNREFUSED,
        Errno.ECONNABORTED,
        Errno.EPERM,
        Errno.ECONNRESET,
        Errno.EPIPE
    };
    private static final Errno[] ACCEPT_ERRORS = {
        Errno.EINTR,
        Errno.EAGAIN,
        Errno.ECONNABORTED,
        Errno.EMFILE,
        Errno.ENFILE,
        Errno.ENOBUFS,
        Errno.ENOMEM,
        Errno.EPERM,
        Errno.EPROTO,
        Errno.ENETDOWN,
        Errno.EHOSTUNREACH,
        Errno.ENETUNREACH,
        Errno.ETIMEDOUT
    };
    private static final Errno[] CONNECT_ERRORS = {
        Errno.EINTR,
        Errno.ECONNREFUSED,
        Errno.ETIMEDOUT,
        Errno.ENETUNREACH,
        Errno.EHOSTUNREACH,
        Errno.EADDRNOTAVAIL,
        Errno.EADDRINUSE,
        Errno.ENOBUFS,
        Errno.EAGAIN,
        Errno.EACCES,
        Errno.EPERM,
        Errno.ENETDOWN,
        Errno.ECONNRESET
    };
    private static final Errno[] SOCKET_ERRORS = {
        Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.EACCES
    };
    private static final Errno[] OPTION_ERRORS = {
        Errno.ENOPROTOOPT, Errno.EINVAL, Errno.ENOMEM, Errno.ENOBUFS
    };
    private static final Errno[] REGISTRATION_ERRORS = {Errno.ENOMEM, Errno.ENOSPC, Errno.EPERM};
    private static final Errno[] WAIT_ERRORS = {Errno.EINTR, Errno.EIO, Errno.ENOMEM, Errno.EINVAL};
    private static final Errno[] END_ERRORS = {
        Errno.EINTR, Errno.EIO, Errno.ENOSPC, Errno.ENOTCONN, Errno.ENOBUFS
    };

    private FaultCells() {}

    /** Reads or writes on one side. */
    static List<Cell> transfers(SystemCall call, DescriptorKind kind, int port) {
        List<Cell> cells = new ArrayList<>();
        for (Errno error : TRANSFER_ERRORS) {
            boolean reset = error == Errno.ECONNRESET || error == Errno.EPIPE;
            boolean endsReading = call == SystemCall.READ && reset;
            FaultRule rule =
                    FaultRule.once(call, kind, error)
                            .to(port)
                            .performing(error == Errno.SHORT_TRANSFER ? SHORT_BYTES : 0);
            for (Duration duration : Duration.values()) {
                boolean broken = duration == Duration.FOR_GOOD && isError(error);
                if (error != Errno.EAGAIN || !isLong(duration)) {
                    cells.add(new Cell(lasting(rule, duration), duration, !broken && !endsReading));
                }
            }
        }
        return cells;
    }

    /** For so long no kernel has nothing to say on a socket that it reports as ready. */
    private static boolean isLong(Duration duration) {
        return duration == Duration.MOMENT || duration == Duration.FOR_GOOD;
    }

    private static boolean isError(Errno error) {
        return error != Errno.SHORT_TRANSFER;
    }

    /** Accepting. */
    static List<Cell> accepts() {
        return passing(SystemCall.ACCEPT, DescriptorKind.LISTENING, 0, ACCEPT_ERRORS);
    }

    /** Connecting to invokers: the call, its later outcome, and the socket itself. */
    static List<Cell> connects(int port) {
        List<Cell> cells = new ArrayList<>();
        cells.addAll(passing(SystemCall.CONNECT, DescriptorKind.CONNECTED, port, CONNECT_ERRORS));
        cells.addAll(
                passing(SystemCall.SOCKET_ERROR, DescriptorKind.CONNECTED, port, CONNECT_ERRORS));
        cells.addAll(passing(SystemCall.SOCKET, DescriptorKind.ANY, 0, SOCKET_ERRORS));
        FaultRule comesUpLater =
                FaultRule.once(SystemCall.CONNECT, DescriptorKind.CONNECTED, Errno.EINTR)
                        .to(port)
                        .performing(1);
        cells.add(new Cell(comesUpLater, Duration.ONCE, true));
        cells.add(new Cell(lasting(comesUpLater, Duration.OFTEN), Duration.OFTEN, true));
        return cells;
    }

    /** Options, registration and the ends of connections of one side. */
    static List<Cell> upkeep(DescriptorKind kind, int port) {
        List<Cell> cells = new ArrayList<>();
        cells.addAll(passing(SystemCall.SETSOCKOPT, kind, port, OPTION_ERRORS));
        cells.addAll(passing(SystemCall.EPOLL_CTL, kind, port, REGISTRATION_ERRORS));
        cells.addAll(passing(SystemCall.SHUTDOWN, kind, port, END_ERRORS));
        cells.addAll(passing(SystemCall.CLOSE, kind, port, END_ERRORS));
        return cells;
    }

    /** Waiting for what is ready. */
    static List<Cell> waits() {
        return passing(SystemCall.EPOLL_WAIT, DescriptorKind.ANY, 0, WAIT_ERRORS);
    }

    private static List<Cell> passing(
            SystemCall call, DescriptorKind kind, int port, Errno... errors) {
        List<Cell> cells = new ArrayList<>();
        for (Errno error : errors) {
            FaultRule rule = FaultRule.once(call, kind, error).to(port);
            for (Duration duration :
                    List.of(Duration.ONCE, Duration.THIRD, Duration.OFTEN, Duration.MOMENT)) {
                cells.add(new Cell(lasting(rule, duration), duration, true));
            }
        }
        return cells;
    }

    private static FaultRule lasting(FaultRule rule, Duration duration) {
        return switch (duration) {
            case ONCE -> rule;
            case THIRD -> rule.after(THIRD_SKIPS);
            case OFTEN ->
                    FaultRule.random(rule.call(), rule.kind(), rule.error(), OFTEN_PERMILLE)
                            .to(rule.port())
                            .performing(rule.performs());
            case MOMENT -> rule.lasting(MOMENT_MILLIS);
            case FOR_GOOD -> rule.lasting(FaultRule.UNTIL_CLOSED);
        };
    }
}
