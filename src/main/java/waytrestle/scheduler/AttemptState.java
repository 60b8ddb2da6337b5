package waytrestle.scheduler;

/**
 * One attempt: one send of a request to one invoker. Kept until its request is removed. Times are
 * in microseconds on the scheduler's clock.
 */
final class AttemptState {
    final InvokerState invoker;
    final FunctionInstance instance;
    final long sentAt;

    /**
     * Whether no instance of the function was believed to be loaded at the invoker when the attempt
     * was sent.
     */
    final boolean cold;

    /** Whether the invoker was chosen without a known instance of the function. */
    final Guess guess;

    /**
     * Estimated number of requests that the invoker was running when the attempt was sent, without
     * those that waited for a load.
     */
    final double concurrentRequestsAtSend;

    /** Whether the attempt has ended. */
    boolean completed;

    AttemptState(
            InvokerState invoker,
            FunctionInstance instance,
            boolean cold,
            Guess guess,
            double concurrentRequests,
            long nowMicros) {
        this.invoker = invoker;
        this.instance = instance;
        this.cold = cold;
        this.guess = guess;
        this.concurrentRequestsAtSend = concurrentRequests;
        this.sentAt = nowMicros;
    }

    /** Counts the attempt as in flight at its instance and its invoker. */
    void start() {
        instance.lastUsedAt = sentAt;
        instance.inFlight++;
        invoker.inFlight++;
        if (!cold && invoker.warmInFlight++ == 0) {
            invoker.silentSince = sentAt;
        }
    }

    /** Marks the attempt as ended and no longer counts it as in flight. */
    void complete() {
        completed = true;
        instance.inFlight--;
        invoker.inFlight--;
        invoker.warmInFlight -= cold ? 0 : 1;
    }

    /**
     * Whether an attempt was sent to an invoker without a known instance of the function, in the
     * hope that one is there, and at which attempt of its request.
     */
    enum Guess {
        /** An instance was known, loaded or loading. */
        NONE,
        /** No instance was known; the request's first attempt. */
        FIRST_ATTEMPT,
        /** No instance was known; a later attempt of the request. */
        RETRY
    }
}
