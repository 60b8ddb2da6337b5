/**
 * Overload protection: decides which connections, request bodies, requests and retries a controller
 * admits when more arrives than the fleet can serve.
 *
 * <p>{@link waytrestle.overload.OverloadControl} combines the checks that a request passes before
 * it reaches the scheduler; {@link waytrestle.overload.ConnectionAdmission} and {@link
 * waytrestle.overload.ByteBudget} bound what the HTTP server accepts. The package is free of I/O,
 * clocks and threads: times are passed in, in microseconds, and everything in it belongs to the
 * event loop of its controller.
 */
package waytrestle.overload;
