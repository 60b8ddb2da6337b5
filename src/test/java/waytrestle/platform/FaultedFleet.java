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
        return configuration(fixture, invokers.stream().mapToInt(ScriptedInvoker::port).toArray());
    }

    /** The same with invokers at these ports. */
    static String configuration(PlatformFixture fixture, int... ports) {
        String[] endpoints = new String[ports.length];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = PlatformFixture.endpointJson("s-" + i, "Ready", ports[i]);
        }
        return fixture.configurationJson(fixture.watchServer)
                .replace(
                        fixture.configuredEventJson(),
                        PlatformFixture.watchEventJson(1, true, endpoints));
    }
}
