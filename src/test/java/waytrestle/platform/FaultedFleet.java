package waytrestle.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What tests with faulted controllers share: several invokers, and the configuration of them. */
final class FaultedFleet {
    private FaultedFleet() {}

    /** So many invokers, each on an event loop of its own. */
    static List<ScriptedInvoker> invokers(int number) throws IOException {
        List<ScriptedInvoker> invokers = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            invokers.add(new ScriptedInvoker());
        }
        return invokers;
    }

    /** The fixture's configuration with these invokers in place of its own. */
    static String configuration(PlatformFixture fixture, List<ScriptedInvoker> invokers) {
        String[] endpoints = new String[invokers.size()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = PlatformFixture.endpointJson("s-" + i, "Ready", invokers.get(i).port());
        }
        return fixture.configurationJson(fixture.watchServer)
                .replace(
                        fixture.configuredEventJson(),
                        PlatformFixture.watchEventJson(1, true, endpoints));
    }
}
