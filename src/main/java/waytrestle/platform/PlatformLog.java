package waytrestle.platform;

import java.io.PrintStream;
import java.net.InetSocketAddress;
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
 * Writes the controller's log lines, each preceded by the wall-clock time, and counts outcomes for
 * the summary that is logged when the controller ends. The number of lines per second is limited.
 *
 * <p>Not thread-safe: used by the controller's event loop, except for the methods that say
 * otherwise.
 */
final class PlatformLog implements ControllerListener {
    /**
     * Log lines per second beyond which further ones are dropped: enough for any single event.
     * Guards against a flood of lines, since the disk that holds the log takes its space from the
     * controller's memory.
     */
    private static final int MAX_LINES_PER_SECOND = 20;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Event of an attempt or preload request that was sent late because the process was stopped
     * between the last check and the send.
     */
    private static final String SEND_DELAYED_EVENT = "send.delayed";

    /** Codes of attempts that indicate a fault and are logged one by one; all codes are counted. */
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

    /** Number of requests by {@code outcome/reason}, or by outcome alone without a reason. */
    private final Map<String, Long> requestsByOutcome = new TreeMap<>();

    private long currentSecond;
    private long strayBytes;
    private int linesInSecond;

    PlatformLog(PrintStream out, LongSupplier wallMillis) {
        this.out = out;
        this.wallMillis = wallMillis;
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause) {
        logMessage(
                new LogLine("scheduler.decision_failed")
                        .with("event", event)
                        .with("error", cause)
                        .toString());
        logStackTrace(cause);
    }

    /** Logs an exception that a handler of the event loop has thrown, with its stack trace. */
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

    /**
     * Logs that the event loop is stuck, with the stack trace of its thread. May be called from any
     * thread; not subject to the limit on lines per second.
     */
    void loopStalled(StackTraceElement[] stack) {
        print(new LogLine("loop.stalled").toString());
        for (StackTraceElement frame : stack) {
            print(frameLine(frame));
        }
    }

    /**
     * Logs that the event loop runs again after a stall. May be called from any thread; not subject
     * to the limit on lines per second.
     */
    void loopRecovered() {
        print(new LogLine("loop.recovered").toString());
    }

    /**
     * Logs that the process ends because its event loop is stuck. May be called from any thread;
     * not subject to the limit on lines per second.
     */
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
            IncomingRequest request, int attempt, String invoker, long delayMicros) {
        logMessage(
                new LogLine(SEND_DELAYED_EVENT)
                        .with("id", request.forwardedRequestId())
                        .with("attempt", attempt)
                        .with("invoker", invoker)
                        .with("delay_ms", delayMicros / MICROS_PER_MILLI)
                        .toString());
    }

    @Override
    public void preloadSendDelayed(String invoker, String function, long delayMicros) {
        logMessage(
                new LogLine(SEND_DELAYED_EVENT)
                        .with("preload", function)
                        .with("invoker", invoker)
                        .with("delay_ms", delayMicros / MICROS_PER_MILLI)
                        .toString());
    }

    @Override
    public void requestCompleted(
            IncomingRequest request, String outcomeLabel, String reasonLabel, long elapsedMicros) {
        String outcome = reasonLabel.isEmpty() ? outcomeLabel : outcomeLabel + "/" + reasonLabel;
        requestsByOutcome.merge(outcome, 1L, Long::sum);
    }

    /** Counts and logs bytes of an invoker that no request has asked for. */
    void strayBytesReceived(InetSocketAddress invoker, int bytes, long idleMicros) {
        strayBytes++;
        logMessage(
                new LogLine("invoker.stray_bytes")
                        .with(
                                "invoker",
                                invoker.getAddress().getHostAddress() + ":" + invoker.getPort())
                        .with("bytes", bytes)
                        .with("idle_ms", idleMicros / MICROS_PER_MILLI)
                        .toString());
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
     * Logs the counts since the start. Not subject to the limit on lines per second.
     *
     * @param refusedSends number of sends that the send guard refused, by reason
     * @param examinedInvokers number of invokers that decisions have examined, over all decisions
     * @param systemFaults number of failed system calls, by {@code operation.reaction}
     * @param discoverySummary the outages of service discovery, as {@link DiscoveryMonitor#summary}
     *     returns them
     * @param tableSizes sizes of the tables at the end
     */
    void logSummary(
            Map<SendGuard.Refusal, Long> refusedSends,
            long examinedInvokers,
            Map<String, Long> systemFaults,
            String discoverySummary,
            TableSizes tableSizes) {
        print(
                new LogLine("controller.summary")
                        .with("requests", requestsByOutcome)
                        .with("attempts", attemptsByCode)
                        .with("repeats", repeats)
                        .with("refused_sends", refusedSends)
                        .with("examined_invokers", examinedInvokers)
                        .with("preloads", preloadsByCode)
                        .with("health_checks", healthChecksByCode)
                        .with("discovery", discoverySummary)
                        .with("sent_on_expired_list", sentOnExpiredList)
                        .with("stray_bytes", strayBytes)
                        .with("system_faults", systemFaults)
                        .with("tables", tableSizes.byName())
                        .toString());
    }

    /** Writes a line, or drops it if the limit on lines per second is reached. */
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
