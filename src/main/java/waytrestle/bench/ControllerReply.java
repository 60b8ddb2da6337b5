package waytrestle.bench;

import java.util.List;
import waytrestle.scheduler.SchedulerCommand;

/**
 * What one controller replies to its part of a batch.
 *
 * @param commands the commands up to the failure, if there was one
 * @param failure what the scheduler threw, or null
 */
record ControllerReply(
        long controllerId, List<SchedulerCommand> commands, RuntimeException failure) {
    /** Whether there is nothing to write. */
    boolean isEmpty() {
        return commands.isEmpty() && failure == null;
    }
}
