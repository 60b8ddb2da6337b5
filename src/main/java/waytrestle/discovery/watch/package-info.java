/**
 * Service discovery by watching: follows a watch server's stream of numbered events over TCP.
 *
 * <p>On each connection the client sends {@code watch REVISION} once. The server answers with one
 * line for each event after that revision and, each second, with a heartbeat line that holds the
 * revision of its last event. {@link waytrestle.discovery.watch.WatchState} decides which events to
 * publish and when to reconnect, without I/O, clocks or threads; {@link
 * waytrestle.discovery.watch.WatchClient} holds the connection. Except for the immutable {@link
 * waytrestle.discovery.watch.WatchEventReader} and {@link waytrestle.discovery.watch.WatchEvent},
 * the package is used only by the event loop of its controller.
 */
package waytrestle.discovery.watch;
