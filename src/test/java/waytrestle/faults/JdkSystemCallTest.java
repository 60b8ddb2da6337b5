package waytrestle.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What the network layer relies on: how the JDK's channels hand on the errors of system calls. The
 * whole table is printed by {@link JdkProbe}; these are the rows that the code depends on.
 */
class JdkSystemCallTest {
    private static final int SEED = 1;

    private static List<String> probed;

    private static synchronized void assertProbed(String expected) throws Exception {
        if (probed == null) {
            probed = probe();
        }
        assertTrue(probed.contains(expected), expected + " is not in " + probed);
    }

    private static List<String> probe() throws Exception {
        try (FaultPlan plan = new FaultPlan()) {
            ProcessBuilder builder =
                    new ProcessBuilder(
                                    "java",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    JdkProbe.class.getName())
                            .redirectErrorStream(true);
            SystemCallShim.preload(builder, plan, SEED);
            Process process = builder.start();
            String printed =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(0, process.waitFor(), printed);
            return Arrays.asList(printed.split("\n"));
        }
    }

    @Test
    void anInterruptedTransferReturnsANegativeCountAndLosesNothing() throws Exception {
        assertProbed("read EINTR: -3; then 5");
        assertProbed("write EINTR: -3; then 7");
    }

    @Test
    void aFailedTransferThrowsAndTheNextOneGoesOn() throws Exception {
        assertProbed("read ETIMEDOUT: IOException(Connection timed out); then 5");
        assertProbed("write ENOBUFS: IOException(No buffer space available); then 7");
        assertProbed("write ECONNRESET: IOException(Connection reset by peer); then 7");
    }

    @Test
    void aResetReadIsRememberedByTheChannel() throws Exception {
        assertProbed(
                "read ECONNRESET: SocketException(Connection reset); then"
                        + " SocketException(Connection reset)");
    }

    @Test
    void anInterruptedConnectLooksAsIfItWereUnderWay() throws Exception {
        assertProbed(
                "connect EINTR: false; then ConnectException(Transport endpoint is not connected)");
    }

    @Test
    void anInterruptedAcceptLooksAsIfNobodyWaited() throws Exception {
        assertProbed("accept EINTR: false; then true");
    }

    @Test
    void aRefusedRegistrationIsSilentAndIsMadeUpForByRegisteringAnew() throws Exception {
        assertProbed("register ENOMEM: 0; then 1 after registering anew");
    }

    @Test
    void aFailedSelectionThrowsAndTheNextOneFindsWhatIsReady() throws Exception {
        assertProbed("select EINTR: 1; then 0");
        assertProbed("select ENOMEM: IOException(Cannot allocate memory); then 1");
    }
}
