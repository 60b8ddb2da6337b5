/**
 * The request scheduler: decides for each request of one controller where it runs, when it is
 * retried, and whether it is rejected.
 *
 * <p>{@link waytrestle.scheduler.RequestScheduler} is the interface: it is given one {@link
 * waytrestle.scheduler.SchedulerEvent} at a time and returns {@link
 * waytrestle.scheduler.SchedulerCommand}s. {@link waytrestle.scheduler.FinishTimeScheduler} is the
 * production implementation.
 *
 * <p>The package performs no I/O, reads no clock and starts no threads; no type in it is
 * thread-safe unless immutable, and all calls come from the event loop of one controller. Times are
 * microseconds on the monotonic clock by which the controller stamps its events. An attempt is
 * <em>warm</em> if an instance of its function is believed to be loaded at the invoker, and
 * <em>cold</em> otherwise.
 */
package waytrestle.scheduler;
