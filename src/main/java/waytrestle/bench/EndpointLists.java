package waytrestle.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/**
 * Stores the endpoint lists that the bench has sent, by the list id with which later messages refer
 * to them. All controllers of the process share the lists.
 *
 * <p>Not thread-safe: used by the thread that runs the adapter.
 */
final class EndpointLists {
    /** The weight of an invoker whose entry has no weight. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<Integer, List<InvokerEndpoint>> listsById = new HashMap<>();

    /** Stores the endpoint list of a message, replacing an earlier list with the same id. */
    void store(JsonObject message) {
        int listId = message.requiredWholeInt("roster_id");
        listsById.put(listId, readEndpoints(message.objects("entries")));
    }

    /**
     * Returns the list last stored with an id.
     *
     * @throws MalformedJsonException if no list has the id
     */
    List<InvokerEndpoint> get(int listId) {
        List<InvokerEndpoint> endpoints = listsById.get(listId);
        if (endpoints == null) {
            throw new MalformedJsonException("roster_id is unknown: " + listId);
        }
        return endpoints;
    }

    private static List<InvokerEndpoint> readEndpoints(List<JsonObject> entries) {
        List<InvokerEndpoint> endpoints = new ArrayList<>(entries.size());
        for (JsonObject entry : entries) {
            endpoints.add(readEndpoint(entry));
        }
        return endpoints;
    }

    private static InvokerEndpoint readEndpoint(JsonObject entry) {
        EndpointState state = readState(entry);
        return new InvokerEndpoint(
                entry.requiredText("invoker"),
                entry.wholeInt("hall"),
                entry.wholeInt("group"),
                entry.wholeInt("flavor"),
                state,
                entry.numberOrDefault("share", DEFAULT_WEIGHT),
                entry.wholeNumber("up_since_us"));
    }

    private static EndpointState readState(JsonObject entry) {
        return switch (entry.wholeInt("status")) {
            case 0 -> EndpointState.GONE;
            case 1 -> EndpointState.READY;
            case 2 -> EndpointState.DRAINING;
            default ->
                    throw new MalformedJsonException(
                            "status is unknown: " + entry.wholeNumber("status"));
        };
    }
}
