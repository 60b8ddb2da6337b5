package waytrestle.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import waytrestle.requests.PendingRequests;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Delivers events to the three state machines of a controller (pending requests, response
 * classifier, scheduler) and passes their commands to the classes that carry them out.
 *
 * <ul>
 *   <li>Each command of the {@link PendingRequests} is carried out at once, while the event is
 *       being handled.
 *   <li>Commands of the {@link ResponseClassifier} are carried out after it has handled the event,
 *       since they may lead to its next event.
 *   <li>Events for the scheduler are queued by the {@link SchedulerEventLoop}.
 * </ul>
 *
 * <p>The {@code dispatch} methods are for events from outside the controller: they also let the
 * scheduler handle the events that follow. The {@code notify} and {@code enqueue} methods are for
 * events that arise while a command is carried out.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EventDispatcher {
    /** Initial list capacity: few events lead to more commands of the classifier. */
    private static final int USUAL_CLASSIFIER_COMMANDS = 2;

    private final Transport transport;
    private final WallClock wallClock;
    private final PendingRequests pendingRequests;
    private final ResponseClassifier classifier;
    private final SchedulerEventLoop schedulerLoop;
    private PendingRequests.CommandSink pendingRequestsCommandHandler;
    private Consumer<ClassifierCommand> classifierCommandHandler;

    EventDispatcher(Transport transport, WallClock wallClock, ControllerDependencies dependencies) {
        this.transport = transport;
        this.wallClock = wallClock;
        this.pendingRequests = dependencies.pendingRequests();
        this.classifier = dependencies.classifier();
        this.schedulerLoop = new SchedulerEventLoop(transport, dependencies.scheduler());
    }

    /**
     * Sets what carries out commands and handles failures. Called once, before the first event.
     *
     * @param failureHandler called when the scheduler throws
     * @param endpointsHandledListener called when the scheduler has handled an endpoint list,
     *     before the scheduler's commands are carried out
     */
    void setHandlers(
            Consumer<PendingRequests.Command> pendingRequestsCommands,
            Consumer<ClassifierCommand> classifierCommands,
            Consumer<SchedulerCommand> schedulerCommands,
            SchedulerEventLoop.FailureHandler failureHandler,
            Runnable endpointsHandledListener) {
        this.pendingRequestsCommandHandler = pendingRequestsCommands::accept;
        this.classifierCommandHandler = classifierCommands;
        schedulerLoop.setHandlers(schedulerCommands, failureHandler);
        schedulerLoop.setEndpointsHandledListener(endpointsHandledListener);
    }

    /** Delivers an event to the pending requests, then lets the scheduler handle its queue. */
    void dispatchToPendingRequests(PendingRequests.Event event) {
        notifyPendingRequests(event);
        runScheduler();
    }

    /** Delivers an event to the classifier, then lets the scheduler handle its queue. */
    void dispatchToClassifier(ClassifierEvent event) {
        notifyClassifier(event);
        runScheduler();
    }

    /** Queues an event for the scheduler, then lets the scheduler handle its queue. */
    void dispatchToScheduler(SchedulerEvent event) {
        enqueueForScheduler(event);
        runScheduler();
    }

    /** Delivers an event to the pending requests without running the scheduler. */
    void notifyPendingRequests(PendingRequests.Event event) {
        pendingRequests.handle(
                transport.nowMicros(), wallClock.seconds(), event, pendingRequestsCommandHandler);
    }

    /** Delivers an event to the classifier without running the scheduler. */
    void notifyClassifier(ClassifierEvent event) {
        List<ClassifierCommand> commands = new ArrayList<>(USUAL_CLASSIFIER_COMMANDS);
        classifier.handle(transport.nowMicros(), event, commands::add);
        for (int i = 0; i < commands.size(); i++) {
            classifierCommandHandler.accept(commands.get(i));
        }
    }

    /** Queues an event for the scheduler without running it. */
    void enqueueForScheduler(SchedulerEvent event) {
        schedulerLoop.enqueue(event);
    }

    /**
     * Lets the scheduler handle its queue; does nothing while the scheduler is doing so already.
     */
    void runScheduler() {
        schedulerLoop.run();
    }
}
