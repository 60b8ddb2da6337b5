/**
 * Classifies responses: decides what the end of an attempt means for the request, for the function
 * and for the invoker, each separately.
 *
 * <p>{@link waytrestle.responses.ResponseClassifier} is the interface; it receives {@link
 * waytrestle.responses.ClassifierEvent}s and returns {@link
 * waytrestle.responses.ClassifierCommand}s. {@link waytrestle.responses.HealthTrackingClassifier}
 * is the implementation that the gateway uses. The package does no I/O, reads no clock and starts
 * no threads: its objects are used only by the event loop of their controller.
 */
package waytrestle.responses;
