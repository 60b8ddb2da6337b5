/**
 * TCP without HTTP: an event loop with timers, the connections and listeners on it, and socket
 * addresses as text.
 *
 * <p>{@link waytrestle.net.Loop} owns one thread, on which everything registered with it runs; the
 * package depends on nothing but the JDK.
 */
package waytrestle.net;
