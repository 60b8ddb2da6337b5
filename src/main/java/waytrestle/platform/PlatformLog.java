package waytrestle.platform;

import java.io.PrintStream;
import java.util.Collection;
import waytrestle.controller.ControllerListener;
import waytrestle.net.Loop;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Writes the controller's log lines, at most so many a second.
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

    private final PrintStream out;
    private long currentSecond;
    private int linesInSecond;

    PlatformLog(PrintStream out) {
        this.out = out;
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> before, Throwable cause) {
        message(
                new LogLine("scheduler.decision_failed")
                        .with("event", event)
                        .with("error", cause)
                        .toString());
        stackTrace(cause);
    }

    /** Logs what a handler of the event loop has thrown. */
    void handlerFailed(Throwable cause) {
        message(new LogLine("handler.failed").with("error", cause).toString());
        stackTrace(cause);
    }

    private void stackTrace(Throwable cause) {
        for (StackTraceElement frame : cause.getStackTrace()) {
            message(new LogLine("stack.frame").with("at", frame).toString());
        }
    }

    @Override
    public void message(String line) {
        long second = Loop.now() / MICROS_PER_SECOND;
        linesInSecond = second == currentSecond ? linesInSecond + 1 : 1;
        currentSecond = second;
        if (linesInSecond <= MAX_LINES_PER_SECOND) {
            out.println(line);
        }
    }
}
