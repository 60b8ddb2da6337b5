/**
 * The access log: one line in JSON for each response to a client.
 *
 * <p>{@link waytrestle.access.AccessLog} is called by the controller's event loop; {@link
 * waytrestle.access.FileAccessLog} passes the lines to its writer thread, the only one that uses
 * the file.
 */
package waytrestle.access;
