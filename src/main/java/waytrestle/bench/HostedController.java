package waytrestle.bench;

import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerSettings;

/**
 * A running simulated controller.
 *
 * @param settings the settings that the scheduler was created with
 */
record HostedController(SchedulerSettings settings, RequestScheduler scheduler) {}
