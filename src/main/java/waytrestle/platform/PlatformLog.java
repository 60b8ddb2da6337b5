package waytrestle.platform;

import java.io.PrintStream;
import java.util.Collection;
import waytrestle.controller.ControllerListener;
import waytrestle.net.Loop;
import waytrestle.scheduler.SchedulerEvent;

/** Lines for the platform's log, so many a second at most: its disk is the controller's memory. */
final class PlatformLog implements ControllerListener {
    private static final int A_SECOND =
            20; // lines: enough for any one event, few enough for any flood

    private final PrintStream out;
    private long second;
    private int lines;

    PlatformLog(PrintStream out) {
        this.out = out;
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> before, Throwable why) {
        message("a decision failed at " + event + ": " + why);
        trace(why);
    }

    void trace(Throwable why) {
        for (StackTraceElement each : why.getStackTrace()) {
            message("  at " + each);
        }
    }

    @Override
    public void message(String text) {
        long now = Loop.now() / 1_000_000;
        lines = now == second ? lines + 1 : 1;
        second = now;
        if (lines <= A_SECOND) {
            out.println(text);
        }
    }
}
