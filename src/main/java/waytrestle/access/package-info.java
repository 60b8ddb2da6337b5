/**
 * The access log: one line for each request that has ended, as JSON.
 *
 * <p>{@link waytrestle.access.AccessLog} is called by the controller's event loop; {@link
 * waytrestle.access.FileAccessLog} hands the lines to a thread of its own, which alone touches the
 * file.
 */
package waytrestle.access;
