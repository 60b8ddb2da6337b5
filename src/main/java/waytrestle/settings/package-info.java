/**
 * Reads the settings of a request scheduler from JSON, for the bench adapter as for the platform's
 * configuration.
 *
 * <p>Stateless: the caller's thread does all the work.
 */
package waytrestle.settings;
