/**
 * Parses JSON objects of any length to {@link waytrestle.json.JsonObject}, whose typed getters name
 * the invalid member in their exceptions, and writes streams of JSON documents.
 *
 * <p>{@link waytrestle.json.JsonObject} is immutable and can be used by any thread.
 */
package waytrestle.json;
