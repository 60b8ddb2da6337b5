package waytrestle.platform;

import java.io.IOException;
import waytrestle.faults.FaultPlan;
import waytrestle.faults.SystemCallShim;

/** A controller in a process of its own, whose system calls fail by a plan. */
final class FaultedController extends ControllerProcess {
    private final FaultPlan plan = new FaultPlan();
    private final int seed;

    FaultedController(int seed) throws IOException {
        this.seed = seed;
    }

    @Override
    void prepare(ProcessBuilder builder) throws Exception {
        SystemCallShim.preload(builder, plan, seed);
    }

    @Override
    FaultedController start(String configurationJson) throws Exception {
        super.start(configurationJson);
        return this;
    }

    @Override
    FaultedController awaitReady() throws InterruptedException {
        super.awaitReady();
        return this;
    }

    FaultPlan plan() {
        return plan;
    }

    @Override
    public void close() throws Exception {
        super.close();
        plan.close();
    }
}
