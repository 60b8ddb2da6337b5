package waytrestle.bench;

import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerSettings;

/** A simulated controller that is up: its scheduler, and the settings that it was started with. */
record HostedController(SchedulerSettings settings, RequestScheduler scheduler) {}
