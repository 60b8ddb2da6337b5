package waytrestle.faults;

/** What a system call is made on, in the order of the shim's own enumeration. */
public enum DescriptorKind {
    ANY,
    /** A connection that a client has opened. */
    ACCEPTED,
    /** A connection that the process has opened itself. */
    CONNECTED,
    LISTENING,
    DATAGRAM,
    REGULAR_FILE,
    OTHER
}
