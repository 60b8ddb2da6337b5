/**
 * The request scheduler: decides for each request of one controller where it runs, when it is
 * retried, and whether it is rejected.
 *
 * <p>{@link waytrestle.scheduler.RequestScheduler} is the interface, with {@link
 * waytrestle.scheduler.SchedulerEvent} in and {@link waytrestle.scheduler.SchedulerCommand} out;
 * {@link waytrestle.scheduler.FinishTimeScheduler} is the implementation that serves. The package
 * is free of I/O, clocks and threads: everything in it belongs to the event loop of its controller.
 */
package waytrestle.scheduler;
