/**
 * Connects request schedulers to the bench, an external program that simulates the clients,
 * invokers and network of many controllers. The adapter hosts the schedulers of those controllers
 * in one process; it reads one batch of messages per input line and writes one reply with commands
 * per output line.
 *
 * <p>The message types, members and timer tags of the bench's wire protocol are used in this
 * package only; {@link waytrestle.bench.EventReader}, {@link waytrestle.bench.EndpointLists} and
 * {@link waytrestle.bench.CommandWriter} translate them. The package makes no scheduling decisions.
 * Its objects are used by the thread that runs the adapter.
 */
package waytrestle.bench;
