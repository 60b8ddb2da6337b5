/**
 * Follows the requests of clients from their arrival to their outcome: each waiting client gets
 * exactly one response before its deadline. A repeat, that is, a further request with a known
 * idempotency key, joins the first request or gets its outcome instead of running again.
 *
 * <p>{@link waytrestle.requests.RequestHandler} is what the protocol front ends call, {@link
 * waytrestle.requests.PendingRequests} holds the requests in flight and the clients that wait for
 * them, {@link waytrestle.requests.IdempotencyStore} holds the outcomes by idempotency key, {@link
 * waytrestle.requests.AdmissionControl} rejects requests under overload, and {@link
 * waytrestle.requests.SendGuard} prevents sends that could double an effect. The package does no
 * I/O, reads no clocks and starts no threads: its objects are used by the event loop of their
 * controller.
 */
package waytrestle.requests;
