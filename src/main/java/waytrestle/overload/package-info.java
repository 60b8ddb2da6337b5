/**
 * Overload protection: decides which connections, request bodies, requests and retries a controller
 * admits when more requests arrive than the fleet can serve.
 *
 * <p>{@link waytrestle.overload.OverloadControl} combines the checks that a request passes before
 * it reaches the scheduler; {@link waytrestle.overload.ConnectionAdmission} and {@link
 * waytrestle.overload.ByteBudget} bound what the HTTP server accepts. The package is free of I/O,
 * clocks and threads: callers pass the current time in microseconds, and each object is used only
 * by the event loop of its controller.
 */
package waytrestle.overload;
