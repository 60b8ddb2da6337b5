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
 * The endpoint lists that the bench has sent, by the number under which later events name them.
 * They are shared by all controllers of the process.
 *
 * <p>Not thread-safe: used by the adapter's thread.
 */
final class EndpointLists {
    /** The weight of an invoker that is listed without one. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<Integer, List<InvokerEndpoint>> listsById = new HashMap<>();

    /** Stores the list of a message, in place of an earlier one of the same number. */
    void store(JsonObject message) {
        int listId = message.requiredWholeInt("roster_id");
        listsById.put(listId, readEndpoints(message.objects("entries")));
    }

    /** The list last stored under a number. */
    List<InvokerEndpoint> get(int listId) {
        List<InvokerEndpoint> endpoints = listsById.get(listId);
        if (endpoints == null) {
            throw new MalformedJsonException("roster_id names no list: " + listId);
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
