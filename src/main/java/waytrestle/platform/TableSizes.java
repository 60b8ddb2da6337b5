package waytrestle.platform;

/**
 * Number of entries of each table that grows with requests, clients or invokers.
 *
 * @param requestEntries entries that the controller retains for requests
 * @param requestsInFlight correlation ids of requests in flight at the front end
 * @param addresses invokers whose address is known
 * @param startTimes invokers whose process start is known
 * @param invokerClients invokers that have a client
 * @param clientConnections open connections of clients
 * @param timers timers of the event loop
 */
record TableSizes(
        int requestEntries,
        int requestsInFlight,
        int addresses,
        int startTimes,
        int invokerClients,
        int clientConnections,
        int timers) {}
