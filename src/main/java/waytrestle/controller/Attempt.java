package waytrestle.controller;

import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;

/**
 * One attempt of a request at an invoker: what the scheduler decided, and how the attempt ended.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class Attempt implements InvokerClient.AttemptListener {
    /**
     * What is fixed when the scheduler decides on an attempt. Points in time are on the monotonic
     * clock of {@link Transport#nowMicros}.
     *
     * @param number number of the attempt within its request, counted from 0
     * @param giveUpAtMicros when an attempt without a response ends
     * @param estimateMicros the scheduler's estimate of the time from the decision to the response;
     *     negative where it made none
     * @param invokerWasReady whether the scheduler took the invoker for ready when it decided
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

    /** Sets what cancels the attempt; called once its invoker client has taken it over. */
    void setCancellation(Runnable cancellation) {
        this.cancellation = cancellation;
    }

    /** Cancels the attempt; does nothing where no invoker client has taken it over. */
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

    /** Records how the attempt ended, and when. */
    void recordResult(AttemptResult attemptResult, long nowMicros) {
        result = attemptResult;
        exchangeResult = attemptResult.exchangeResult();
        completedAtMicros = nowMicros;
    }

    /**
     * Drops the response body, which would otherwise be held until the request ends. How the
     * exchange ended is kept.
     */
    void releaseResult() {
        result = null;
    }

    /** Returns the result, or null before the attempt ends and after {@link #releaseResult}. */
    AttemptResult result() {
        return result;
    }

    boolean hasEnded() {
        return exchangeResult != null;
    }

    /** Returns how the exchange ended, or null while it is outstanding. */
    ExchangeResult exchangeResult() {
        return exchangeResult;
    }

    /** Returns the monotonic time of the end; 0 while the attempt is outstanding. */
    long completedAtMicros() {
        return completedAtMicros;
    }

    /** Returns the time from the scheduler's decision to the end of the attempt. */
    long elapsedMicros() {
        return completedAtMicros - plan.decidedAtMicros();
    }

    /** Returns the code that the classifier gave to the end, or null before it did. */
    ResponseCode code() {
        return code;
    }

    void setCode(ResponseCode code) {
        this.code = code;
    }
}
