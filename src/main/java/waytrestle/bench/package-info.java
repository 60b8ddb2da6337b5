/**
 * The bench adapter: hosts the schedulers of many simulated controllers in one process, with a
 * batch of events a line in and a reply of commands a line out.
 *
 * <p>The bench's own words for messages, members and timers stay in this package; {@link
 * waytrestle.bench.EventReader} and {@link waytrestle.bench.CommandWriter} translate them. The
 * package decides nothing. Everything in it belongs to the thread that runs the adapter.
 */
package waytrestle.bench;
