package waytrestle.platform;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import waytrestle.controller.ControllerListener;
import waytrestle.net.Loop;
import waytrestle.net.LoopWatchdog;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.SendGuard;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Writes the controller's log lines, each with the time of the wall clock, at most so many a
 * second.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformLog implements ControllerListener {
    /**
     * Enough for any one event, few enough for any flood. Guards against a flood of lines on a disk
     * that is the controller's memory.
     */
    private static final int MAX_LINES_PER_SECOND = 20;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Work that was written after a stop of the process, by a check from before it. */
    private static final String SEND_DELAYED_EVENT = "send.delayed";

    /** Ends of attempts that say something of a fault; the others are counted alone. */
    private static final Set<ResponseCode> LOGGED_CODES =
            EnumSet.of(
                    ResponseCode.ERROR,
                    ResponseCode.TIMEOUT,
                    ResponseCode.RESET,
                    ResponseCode.CONNECT_FAILED);

    private final PrintStream out;
    private final LongSupplier wallMillis;
    private final Map<ResponseCode, Long> attemptsByCode = new EnumMap<>(ResponseCode.class);
    private final Map<PendingRequests.RepeatKind, Long> repeats =
            new EnumMap<>(PendingRequests.RepeatKind.class);
    private final Map<WorkKind, Long> sentOnExpiredList = new EnumMap<>(WorkKind.class);
    private final Map<ResponseCode, Long> preloadsByCode = new EnumMap<>(ResponseCode.class);
    private final Map<ResponseCode, Long> healthChecksByCode = new EnumMap<>(ResponseCode.class);

    /** By outcome and reason, both of which are few. */
    private final Map<String, Long> requestsByOutcome = new TreeMap<>();

    private long currentSecond;
    private int linesInSecond;

    PlatformLog(PrintStream out, LongSupplier wallMillis) {
        this.out = out;
        this.wallMillis = wallMillis;
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> before, Throwable cause) {
        logMessage(
                new LogLine("scheduler.decision_failed")
                        .with("event", event)
                        .with("error", cause)
                        .toString());
        logStackTrace(cause);
    }

    /** Logs what a handler of the event loop has thrown. */
    void handlerFailed(Throwable cause) {
        logMessage(new LogLine("handler.failed").with("error", cause).toString());
        logStackTrace(cause);
    }

    private void logStackTrace(Throwable cause) {
        for (StackTraceElement frame : cause.getStackTrace()) {
            logMessage(frameLine(frame));
        }
    }

    private static String frameLine(StackTraceElement frame) {
        return new LogLine("stack.frame").with("at", frame).toString();
    }

    /** Logs where the event loop is stuck. May be called from any thread. */
    void loopStalled(StackTraceElement[] stack) {
        print(new LogLine("loop.stalled").toString());
        for (StackTraceElement frame : stack) {
            print(frameLine(frame));
        }
    }

    /** Logs that the event loop runs again. May be called from any thread. */
    void loopRecovered() {
        print(new LogLine("loop.recovered").toString());
    }

    /** Logs that the process is ended since its event loop is stuck. From any thread. */
    void loopGivenUp() {
        print(new LogLine("loop.given_up").with("exit_code", LoopWatchdog.EXIT_CODE).toString());
    }

    @Override
    public void requestAttemptCompleted(
            IncomingRequest request, int attempt, String invoker, ResponseCode code) {
        attemptsByCode.merge(code, 1L, Long::sum);
        if (LOGGED_CODES.contains(code)) {
            logMessage(attemptLine("attempt.failed", request, attempt, invoker, code));
        }
    }

    @Override
    public void sendRefused(
            IncomingRequest request, int attempt, String invoker, SendGuard.Refusal reason) {
        String event = reason.isViolation() ? "send.violation_prevented" : "send.refused";
        logMessage(attemptLine(event, request, attempt, invoker, reason));
    }

    @Override
    public void attemptSendDelayed(
            IncomingRequest request, int attempt, String invoker, long micros) {
        logMessage(
                new LogLine(SEND_DELAYED_EVENT)
                        .with("id", request.forwardedRequestId())
                        .with("attempt", attempt)
                        .with("invoker", invoker)
                        .with("delay_ms", micros / MICROS_PER_MILLI)
                        .toString());
    }

    @Override
    public void preloadSendDelayed(String invoker, String function, long micros) {
        logMessage(
                new LogLine(SEND_DELAYED_EVENT)
                        .with("preload", function)
                        .with("invoker", invoker)
                        .with("delay_ms", micros / MICROS_PER_MILLI)
                        .toString());
    }

    @Override
    public void requestCompleted(IncomingRequest request, String end, String reason, long micros) {
        String outcome = reason.isEmpty() ? end : end + "/" + reason;
        requestsByOutcome.merge(outcome, 1L, Long::sum);
    }

    @Override
    public void sentOnExpiredList(WorkKind kind) {
        sentOnExpiredList.merge(kind, 1L, Long::sum);
    }

    @Override
    public void preloadCompleted(String invoker, String function, ResponseCode code) {
        preloadsByCode.merge(code, 1L, Long::sum);
    }

    @Override
    public void healthCheckCompleted(String invoker, ResponseCode code) {
        healthChecksByCode.merge(code, 1L, Long::sum);
    }

    private static String attemptLine(
            String event, IncomingRequest request, int attempt, String invoker, Enum<?> reason) {
        return new LogLine(event)
                .with("id", request.forwardedRequestId())
                .with("class", request.requestClass())
                .with("attempt", attempt)
                .with("invoker", invoker)
                .with("reason", reason)
                .toString();
    }

    @Override
    public void requestRepeated(IncomingRequest request, PendingRequests.RepeatKind kind) {
        repeats.merge(kind, 1L, Long::sum);
        logMessage(
                new LogLine("request.repeated")
                        .with("id", request.forwardedRequestId())
                        .with("class", request.requestClass())
                        .with("kind", kind)
                        .toString());
    }

    /**
     * Logs what was counted since the start. Not subject to the limit on lines.
     *
     * @param discovery how often and for how long service discovery was out of reach
     */
    void logSummary(
            Map<SendGuard.Refusal, Long> refusedSends,
            Map<String, Long> systemFaults,
            String discovery) {
        print(
                new LogLine("controller.summary")
                        .with("requests", requestsByOutcome)
                        .with("attempts", attemptsByCode)
                        .with("repeats", repeats)
                        .with("refused_sends", refusedSends)
                        .with("preloads", preloadsByCode)
                        .with("health_checks", healthChecksByCode)
                        .with("discovery", discovery)
                        .with("sent_on_expired_list", sentOnExpiredList)
                        .with("system_faults", systemFaults)
                        .toString());
    }

    @Override
    public void logMessage(String line) {
        long second = Loop.nowMicros() / MICROS_PER_SECOND;
        linesInSecond = second == currentSecond ? linesInSecond + 1 : 1;
        currentSecond = second;
        if (linesInSecond <= MAX_LINES_PER_SECOND) {
            print(line);
        }
    }

    private void print(String line) {
        out.println(Instant.ofEpochMilli(wallMillis.getAsLong()) + " " + line);
    }
}
