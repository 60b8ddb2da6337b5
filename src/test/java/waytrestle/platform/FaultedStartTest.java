package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;

/** System calls that fail for a moment while a controller starts. */
class FaultedStartTest {
    /** Some of them are met by the JDK, which asks what sockets there are. */
    private static final int FAILURES = 8;

    @Test
    void aSocketThatCannotBeHadForAMomentDoesNotEndTheStart() throws Exception {
        try (PlatformFixture fixture = new PlatformFixture();
                FaultedController controller = new FaultedController(1)) {
            controller
                    .plan()
                    .set(
                            FaultRule.once(SystemCall.SOCKET, DescriptorKind.ANY, Errno.ENOBUFS)
                                    .times(FAILURES));
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            assertTrue(controller.plan().hits() == FAILURES, controller.log());
        }
    }
}
