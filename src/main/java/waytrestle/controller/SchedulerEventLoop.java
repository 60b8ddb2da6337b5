package waytrestle.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Delivers events to the scheduler one at a time. All commands that an event leads to are carried
 * out before the next event is handled; events that arise meanwhile are queued.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class SchedulerEventLoop {
    /** Number of latest events that are reported with a failed decision: enough to replay it. */
    private static final int RECENT_EVENTS = 64;

    /** Handles an exception that the scheduler threw. */
    interface FailureHandler {
        /**
         * Called after the scheduler threw, before the commands that it had given until then are
         * carried out.
         *
         * @param event the event that the scheduler was handling
         * @param recentEvents the latest events, of which {@code event} is the last; valid only
         *     during this call
         */
        void schedulerThrew(
                SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause);
    }

    private final Transport transport;
    private final RequestScheduler scheduler;
    private final ArrayDeque<SchedulerEvent> queue = new ArrayDeque<>();
    private final ArrayDeque<SchedulerEvent> recentEvents = new ArrayDeque<>();
    private final List<SchedulerCommand> commands = new ArrayList<>();
    private Consumer<SchedulerCommand> commandHandler;
    private Runnable endpointsHandledListener = () -> {};
    private FailureHandler failureHandler;
    private boolean running;

    SchedulerEventLoop(Transport transport, RequestScheduler scheduler) {
        this.transport = transport;
        this.scheduler = scheduler;
    }

    /** Sets what carries out commands and handles failures. Called once, before the first event. */
    void setHandlers(Consumer<SchedulerCommand> commandHandler, FailureHandler failureHandler) {
        this.commandHandler = commandHandler;
        this.failureHandler = failureHandler;
    }

    /**
     * Sets what is called when the scheduler has handled an endpoint list, before the commands that
     * the list leads to are carried out.
     */
    void setEndpointsHandledListener(Runnable listener) {
        endpointsHandledListener = listener;
    }

    /** Queues an event for the next {@link #run}. */
    void enqueue(SchedulerEvent event) {
        queue.add(event);
    }

    /** Handles all queued events; does nothing when called while they are being handled. */
    void run() {
        if (running) {
            return;
        }
        running = true;
        try {
            for (SchedulerEvent event = queue.poll(); event != null; event = queue.poll()) {
                handle(event);
            }
        } finally {
            running = false;
        }
    }

    private void handle(SchedulerEvent event) {
        remember(event);
        commands.clear();
        try {
            scheduler.handle(transport.nowMicros(), event, commands::add);
        } catch (RuntimeException | StackOverflowError e) {
            failureHandler.schedulerThrew(event, recentEvents, e);
        }
        if (event instanceof SchedulerEvent.EndpointsUpdated) {
            endpointsHandledListener.run();
        }
        for (int i = 0; i < commands.size(); i++) {
            commandHandler.accept(commands.get(i));
        }
    }

    private void remember(SchedulerEvent event) {
        recentEvents.add(event);
        if (recentEvents.size() > RECENT_EVENTS) {
            recentEvents.poll();
        }
    }
}
