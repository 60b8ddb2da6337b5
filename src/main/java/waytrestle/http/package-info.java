/**
 * HTTP/1.1 on the event loop: parser and writer, a server and a client with bounds on connections
 * and on the bytes that incomplete messages hold.
 *
 * <p>{@link waytrestle.http.HttpServer} and {@link waytrestle.http.HttpClient} run on one {@link
 * waytrestle.net.Loop} each; the package depends on {@code waytrestle.net} alone.
 */
package waytrestle.http;
