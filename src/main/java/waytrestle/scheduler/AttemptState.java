package waytrestle.scheduler;

/** One send of a request to an invoker. Lives as long as its request. */
final class AttemptState {
    final InvokerState invoker;
    final FunctionInstance instance;
    final long sentAt;

    /** Whether it was sent to an instance that was not believed to be loaded. */
    final boolean cold;

    /** Where no instance was believed to exist: how the invoker was chosen. */
    final Guess guess;

    /** Requests at work at the invoker when this one was sent. */
    final double concurrentRequestsAtSend;

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

    /** Counts the attempt as in flight. */
    void start() {
        instance.lastUsedAt = sentAt;
        instance.inFlight++;
        invoker.inFlight++;
        if (!cold && invoker.warmInFlight++ == 0) {
            invoker.silentSince = sentAt;
        }
    }

    /** Counts it as in flight no longer. */
    void complete() {
        completed = true;
        instance.inFlight--;
        invoker.inFlight--;
        invoker.warmInFlight -= cold ? 0 : 1;
    }

    /** How an attempt came to an invoker where no instance was known. */
    enum Guess {
        /** An instance was believed to be there. */
        NONE,
        /** At the first invoker tried for the request. */
        FIRST_ATTEMPT,
        /** At a further one. */
        RETRY
    }
}
