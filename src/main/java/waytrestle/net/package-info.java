/**
 * TCP without HTTP: an event loop with timers, its connections and listeners, and socket addresses
 * as text.
 *
 * <p>{@link waytrestle.net.Loop} owns one thread, which runs the callbacks of all channels, timers
 * and tasks of the loop. The package depends on nothing but the JDK.
 */
package waytrestle.net;
