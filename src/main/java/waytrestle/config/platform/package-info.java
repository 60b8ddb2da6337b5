/**
 * The configuration file that the platform gives to a controller, read into typed values.
 *
 * <p>Stateless and free of defaults of its own. A controller reads its file at its start on the
 * main thread, and again whenever it is told to reload.
 */
package waytrestle.config.platform;
