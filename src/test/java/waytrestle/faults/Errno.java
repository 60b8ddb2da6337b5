package waytrestle.faults;

/** Errors of system calls on sockets and files, by their Linux numbers. */
public enum Errno {
    /** No error: a read or write transfers less than it was asked to. */
    SHORT_TRANSFER(0),
    EPERM(1),
    EINTR(4),
    EIO(5),
    EBADF(9),
    EAGAIN(11),
    ENOMEM(12),
    EACCES(13),
    EINVAL(22),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPIPE(32),
    EPROTO(71),
    ENOPROTOOPT(92),
    EOPNOTSUPP(95),
    EADDRINUSE(98),
    EADDRNOTAVAIL(99),
    ENETDOWN(100),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ENOTCONN(107),
    ETIMEDOUT(110),
    ECONNREFUSED(111),
    EHOSTUNREACH(113);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
