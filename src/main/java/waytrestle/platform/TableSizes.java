package waytrestle.platform;

/**
 * The number of entries of each table that grows with requests, clients or invokers.
 *
 * @param requestEntries entries that the controller holds for requests, their clients and attempts
 * @param requestsInFlight clients that wait at the front end for the response to a request
 * @param addresses invokers whose address is known
 * @param startTimes invokers whose process start time is reported
 * @param invokerClients invokers that have a client
 * @param clientConnections open connections of clients
 * @param timers pending timers of the event loop
 */
record TableSizes(
        int requestEntries,
        int requestsInFlight,
        int addresses,
        int startTimes,
        int invokerClients,
        int clientConnections,
        int timers) {}
