/**
 * Reads JSON objects of any length, with typed look-ups whose errors name the member at fault.
 *
 * <p>Nothing here is bound to a thread: a {@link waytrestle.json.JsonObject} does not change once
 * it is read.
 */
package waytrestle.json;
