/**
 * The configuration file that the platform gives to a controller, read into typed values.
 *
 * <p>Stateless and without default values of its own. A controller reads its file on the main
 * thread when it starts, and again on the thread that requests a reload.
 */
package waytrestle.config.platform;
