package waytrestle.platform;

import java.util.function.UnaryOperator;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * What is played of an outage of service discovery. Times are milliseconds; those of drains count
 * from the loss. Set up once, then unchanged.
 */
final class OutageScenario {
    private static final long USUAL_OUTAGE_MILLIS = 7_000;
    private static final long JUST_AFTER_MILLIS = 200;

    final String name;
    int controllers = 3;
    int invokers = 6;
    Loss loss = Loss.NONE;
    long outageMillis = USUAL_OUTAGE_MILLIS;

    /** When invokers begin to drain; negative is before the loss. */
    long drainAtMillis = JUST_AFTER_MILLIS;

    /** How many of the invokers drain. */
    int drains = 2;

    /** After that they end and start again; 0 keeps them draining. */
    long returnAfterMillis;

    /** How long a draining invoker still accepts requests. */
    long acceptMillis;

    /** The drain grace of the settings. */
    long graceMillis = 1_000;

    /** Whether a controller is killed and started again during the outage. */
    boolean restartsController;

    /** Until when all controllers are suspended, from shortly before the loss; 0 for never. */
    long suspendedMillis;

    /** Of the configuration's text. */
    UnaryOperator<String> settings = UnaryOperator.identity();

    OutageScenario(String name) {
        this.name = name;
    }

    OutageScenario sized(int controllerNumber, int invokerNumber, int drainingNumber) {
        controllers = controllerNumber;
        invokers = invokerNumber;
        drains = drainingNumber;
        return this;
    }

    OutageScenario losing(Loss how, long millis) {
        loss = how;
        outageMillis = millis;
        return this;
    }

    OutageScenario drainingAt(long millis) {
        drainAtMillis = millis;
        return this;
    }

    OutageScenario withGrace(long millis) {
        graceMillis = millis;
        return this;
    }

    OutageScenario returningAfter(long millis) {
        returnAfterMillis = millis;
        return this;
    }

    OutageScenario acceptingFor(long millis) {
        acceptMillis = millis;
        return this;
    }

    OutageScenario restartingAController() {
        restartsController = true;
        return this;
    }

    OutageScenario suspendingControllers(long millis) {
        suspendedMillis = millis;
        return this;
    }

    /** Health checks are not allowed. */
    OutageScenario withoutHealthChecks() {
        settings = text -> text.replace("\"may_probe\":true", "\"may_probe\":false");
        return this;
    }
}
