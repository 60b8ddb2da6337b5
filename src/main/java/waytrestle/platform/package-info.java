/**
 * The platform's controller process: starts a controller from the platform's configuration, keeps
 * its endpoints and configuration up to date, and shuts it down.
 *
 * <p>{@link waytrestle.platform.PlatformController} is the entry point. Each controller has one
 * event loop, whose thread owns all state in this package; the few methods that may be called from
 * any thread say so and hand their work to the loop.
 */
package waytrestle.platform;
