/**
 * The controller: connects the protocol front ends, the pending requests, the response classifier,
 * the request scheduler and the invokers, and carries out what they decide.
 *
 * <p>{@link waytrestle.controller.Controller} is the entry point and takes no decision of its own.
 * {@link waytrestle.controller.Transport} and {@link waytrestle.controller.ControllerEnvironment}
 * are the interfaces to its surroundings, which are real or simulated. No class of this package is
 * thread-safe: every call has to come from the thread of the controller's event loop.
 */
package waytrestle.controller;
