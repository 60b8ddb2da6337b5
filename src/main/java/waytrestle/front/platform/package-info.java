/**
 * The front end of the platform's protocol, in which a request is {@code POST /do/FUNCTION/call}.
 *
 * <p>{@link waytrestle.front.platform.PlatformFrontEnd} hands each request to the request handler
 * and counts the requests in flight; {@link waytrestle.front.platform.PlatformRequestReader} reads
 * and validates requests, {@link waytrestle.front.platform.PlatformResponseWriter} writes
 * responses. All classes of the package are used by the controller's event loop only.
 */
package waytrestle.front.platform;
