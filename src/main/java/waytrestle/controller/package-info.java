/**
 * The controller: connects the protocol front ends, the pending requests, the response classifier,
 * the request scheduler and the invokers, and carries out what they decide.
 *
 * <p>{@link waytrestle.controller.Controller} is the entry point. It takes no decision of its own;
 * {@link waytrestle.controller.Transport} and {@link waytrestle.controller.ControllerEnvironment}
 * are what it needs from its surroundings, real or simulated. All of it is owned by the
 * controller's event loop: nothing here is thread-safe, and every call has to come from that one
 * thread.
 */
package waytrestle.controller;
