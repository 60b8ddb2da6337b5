package waytrestle.scheduler;

/**
 * An invoker's entry in the endpoint list of service discovery. Immutable.
 *
 * @param id name of the invoker
 * @param zone number of the zone that the invoker is in
 * @param cell number of the cell that the invoker is in
 * @param kind index of the invoker's kind in the settings
 * @param state whether the invoker accepts requests
 * @param weight the invoker's weight among the invokers, from service discovery
 * @param startedAtMicros when the invoker's present process started, in microseconds on the
 *     scheduler's clock; 0 if that is long ago or was not reported
 */
public record InvokerEndpoint(
        String id,
        int zone,
        int cell,
        int kind,
        EndpointState state,
        double weight,
        long startedAtMicros) {}
