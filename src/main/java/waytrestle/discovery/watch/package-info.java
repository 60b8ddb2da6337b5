/**
 * Service discovery by watching: follows a watch server's stream of numbered events over TCP.
 *
 * <p>The client sends {@code watch REVISION} once and the server answers with a line for each later
 * event and, each second, a heartbeat line with its last revision. {@link
 * waytrestle.discovery.watch.WatchState} decides what a line means and when to reconnect, without
 * I/O, clocks or threads; {@link waytrestle.discovery.watch.WatchClient} holds the connection.
 * Everything in the package belongs to the event loop of its controller.
 */
package waytrestle.discovery.watch;
