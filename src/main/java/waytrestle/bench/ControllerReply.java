package waytrestle.bench;

import java.util.List;
import waytrestle.scheduler.SchedulerCommand;

/**
 * The reply of one controller to its messages of a batch.
 *
 * @param commands the commands of the controller's scheduler, up to its failure if it failed
 * @param failure the exception that the scheduler threw, or null if it threw none
 */
record ControllerReply(
        long controllerId, List<SchedulerCommand> commands, RuntimeException failure) {
    /** Returns whether the reply has neither commands nor a failure. */
    boolean isEmpty() {
        return commands.isEmpty() && failure == null;
    }
}
