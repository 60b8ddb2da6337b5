/**
 * HTTP/1.1 on the event loop: parser and writer, a server and a client with limits on connections
 * and on the bytes of incomplete messages.
 *
 * <p>{@link waytrestle.http.HttpServer} and {@link waytrestle.http.HttpClient} each run on one
 * {@link waytrestle.net.Loop}. Of the project's other packages this one uses only {@code
 * waytrestle} and {@code waytrestle.net}.
 */
package waytrestle.http;
