package waytrestle.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import waytrestle.net.Loop;

/**
 * The number of entries of each table that grows with requests, clients or invokers.
 *
 * @param requestEntries entries that the controller holds for requests, their clients and attempts
 * @param functions functions that the scheduler remembers
 * @param requestsInFlight clients that wait at the front end for the response to a request
 * @param addresses invokers whose address is known
 * @param startTimes invokers whose process start time is reported
 * @param invokerClients invokers that have a client
 * @param clientConnections open connections of clients
 * @param timers pending timers of the event loop
 */
record TableSizes(
        int requestEntries,
        int functions,
        int requestsInFlight,
        int addresses,
        int startTimes,
        int invokerClients,
        int clientConnections,
        int timers) {
    /** Returns the present sizes; called on the event loop. */
    static TableSizes of(PlatformComponents components, Loop loop) {
        return new TableSizes(
                components.controller().retainedEntries(),
                components.controller().rememberedFunctions(),
                components.frontEnd().requestsInFlight(),
                components.addresses().size(),
                components.startTimes().size(),
                components.controller().invokerClientCount(),
                components.server().connections(),
                loop.timerCount());
    }

    /** Returns the sizes by name, for the log. */
    Map<String, Integer> byName() {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        sizes.put("request_entries", requestEntries);
        sizes.put("functions", functions);
        sizes.put("requests_in_flight", requestsInFlight);
        sizes.put("addresses", addresses);
        sizes.put("start_times", startTimes);
        sizes.put("invoker_clients", invokerClients);
        sizes.put("client_connections", clientConnections);
        sizes.put("timers", timers);
        return sizes;
    }
}
