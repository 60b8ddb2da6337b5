package waytrestle.scheduler;

/**
 * An invoker as service discovery lists it.
 *
 * @param kind index of its kind in the settings
 * @param startedAtMicros when its present process started, on the scheduler's clock; 0 when long
 *     ago or not reported
 */
public record InvokerEndpoint(
        String id,
        int zone,
        int cell,
        int kind,
        EndpointState state,
        double weight,
        long startedAtMicros) {}
