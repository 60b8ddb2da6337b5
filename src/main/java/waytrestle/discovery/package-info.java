/**
 * Service discovery by polling: which invokers a health API lists, and what changed since.
 *
 * <p>{@link waytrestle.discovery.EndpointDirectory} decides what a poll's result means and when to
 * poll next, without I/O, clocks or threads; {@link waytrestle.discovery.ConsulPoller} sends the
 * polls. Everything in the package belongs to the event loop of its controller. Discovery by a
 * stream of events is in {@link waytrestle.discovery.watch}.
 */
package waytrestle.discovery;
