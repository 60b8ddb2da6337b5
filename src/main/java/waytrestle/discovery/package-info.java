/**
 * Service discovery by polling: reads the endpoint list from a health API and determines what has
 * changed since the last poll.
 *
 * <p>{@link waytrestle.discovery.EndpointDirectory} decides what a poll's result means and when to
 * poll next, without I/O, clocks or threads; {@link waytrestle.discovery.ConsulPoller} sends the
 * polls. All objects of the package are used only by the event loop of their controller. Service
 * discovery by a stream of events is in {@link waytrestle.discovery.watch}.
 */
package waytrestle.discovery;
