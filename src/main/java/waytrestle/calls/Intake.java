package waytrestle.calls;

import waytrestle.Bytes;

/** What a front needs of the core: it brings a call and hears its end, once. */
public interface Intake {
    /**
     * A call as a front has understood and admitted it; the id may be null, tenant -1. With jsonBytes of 0 or more
     * the payload is an infer request already, whose JSON part is so long, and its answer is wanted whole.
     */
    record Incoming(int requestClass, int tenant, String function, IdMemory.Arrival id, long mark, long timeLeftMicros,
            String contentType, Bytes payload, int jsonBytes) { }

    /** Hears the end, on the loop, possibly within {@link #accept}. */
    interface Client {
        void ended(End end);
    }

    /** Held by the front while the call is open. */
    interface Ticket {
        /** The client went away; no end is told after this. */
        void left();
    }

    Ticket accept(Incoming call, Client client);

    /** Whether any invoker is ready. */
    boolean ready();

    /** Wall time in whole seconds, by which signing times are judged. */
    long wallSeconds();
}
