/**
 * The requests of clients from their arrival to their outcome: each waiting client gets exactly one
 * response before its deadline, and a repeated request is joined to the first instead of run again.
 *
 * <p>{@link waytrestle.requests.RequestHandler} is what the protocol front ends call, {@link
 * waytrestle.requests.PendingRequests} keeps the requests in flight with the clients that wait for
 * them, {@link waytrestle.requests.IdempotencyStore} keeps the outcomes of idempotency keys, and
 * {@link waytrestle.requests.AdmissionControl} rejects requests under overload. The package is free
 * of I/O, clocks and threads: everything in it belongs to the event loop of its controller.
 */
package waytrestle.requests;
