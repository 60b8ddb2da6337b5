package waytrestle.faults;

/** The system calls that the shim can let fail, in the order of its own enumeration. */
public enum SystemCall {
    READ,
    WRITE,
    CONNECT,
    ACCEPT,
    EPOLL_WAIT,
    EPOLL_CTL,
    SETSOCKOPT,
    SOCKET_ERROR,
    SHUTDOWN,
    CLOSE,
    SOCKET,
    SEND,
    RECEIVE,
    SYNC,
    FCNTL
}
