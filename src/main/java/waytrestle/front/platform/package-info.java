/**
 * The front end of the platform's protocol: requests come in by {@code POST /do/FUNCTION/call}.
 *
 * <p>{@link waytrestle.front.platform.PlatformFrontEnd} hands each request to the core and keeps
 * track of those in flight; reading and checking a request and wording its response are classes of
 * their own. Everything here belongs to the controller's event loop.
 */
package waytrestle.front.platform;
