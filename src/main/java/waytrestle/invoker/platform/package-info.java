/**
 * The protocol of the platform's invokers: the messages sent to them, what their responses say, and
 * which responses prove that a request has not run.
 *
 * <p>Stateless and free of I/O; used by the controller's event loop.
 */
package waytrestle.invoker.platform;
