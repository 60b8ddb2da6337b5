/**
 * Classifies responses: decides what the end of an attempt says of the request, of the function and
 * of the invoker, each apart.
 *
 * <p>{@link waytrestle.responses.ResponseClassifier} is the interface, with {@link
 * waytrestle.responses.ClassifierEvent} in and {@link waytrestle.responses.ClassifierCommand} out;
 * {@link waytrestle.responses.HealthTrackingClassifier} is the implementation that serves. The
 * package is free of I/O, clocks and threads: everything in it belongs to the event loop of its
 * controller.
 */
package waytrestle.responses;
