/**
 * Reads the settings of a request scheduler from JSON, for the bench adapter and for the controller
 * on the platform.
 *
 * <p>The package is stateless, and all work is done on the caller's thread.
 */
package waytrestle.settings;
