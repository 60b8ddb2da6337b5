package waytrestle.controller;

import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;

/**
 * One send of a request to an invoker, and how it ended.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class Attempt implements InvokerClient.AttemptListener {
    /**
     * What is fixed when the scheduler decides on an attempt.
     *
     * @param estimateMicros the scheduler's estimate of the finish time, negative without one
     * @param invokerWasReady whether the scheduler took the invoker for ready
     */
    record Plan(
            int number,
            String invoker,
            long decidedAtMicros,
            long giveUpAtMicros,
            long estimateMicros,
            boolean invokerWasReady) {}

    private final OpenRequest request;
    private final Plan plan;
    private final AttemptCompletionHandler completionHandler;
    private Runnable cancellation;
    private AttemptResult result;
    private ExchangeResult exchangeResult;
    private long completedAtMicros;
    private ResponseCode code;

    Attempt(OpenRequest request, Plan plan, AttemptCompletionHandler completionHandler) {
        this.request = request;
        this.plan = plan;
        this.completionHandler = completionHandler;
    }

    OpenRequest request() {
        return request;
    }

    Plan plan() {
        return plan;
    }

    int number() {
        return plan.number();
    }

    String invoker() {
        return plan.invoker();
    }

    /** Sets how the attempt is cancelled, once it has been sent. */
    void setCancellation(Runnable cancellation) {
        this.cancellation = cancellation;
    }

    /** Cancels the attempt; does nothing where it has not been sent. */
    void cancel() {
        if (cancellation != null) {
            cancellation.run();
        }
    }

    @Override
    public void completed(AttemptResult attemptResult) {
        if (!hasEnded()) {
            completionHandler.completed(this, attemptResult);
        }
    }

    @Override
    public ExchangeResult.Kind checkBeforeSend() {
        return completionHandler.checkBeforeSend(this);
    }

    @Override
    public void sendDelayed(long micros) {
        completionHandler.sendDelayed(this, micros);
    }

    void recordResult(AttemptResult attemptResult, long nowMicros) {
        result = attemptResult;
        exchangeResult = attemptResult.exchangeResult();
        completedAtMicros = nowMicros;
    }

    /** Drops the response, so that its body is not kept for as long as the request is. */
    void releaseResult() {
        result = null;
    }

    /** What the invoker client returned, or null before the end and after the release. */
    AttemptResult result() {
        return result;
    }

    boolean hasEnded() {
        return exchangeResult != null;
    }

    /** How the exchange ended, or null while it is outstanding. */
    ExchangeResult exchangeResult() {
        return exchangeResult;
    }

    long completedAtMicros() {
        return completedAtMicros;
    }

    /** The time from the decision to the end. */
    long elapsedMicros() {
        return completedAtMicros - plan.decidedAtMicros();
    }

    /** The code given by the classifier, or null before. */
    ResponseCode code() {
        return code;
    }

    void setCode(ResponseCode code) {
        this.code = code;
    }
}
