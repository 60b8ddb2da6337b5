/** Tests of the platform's controller over real sockets, and their fixtures. */
package waytrestle.platform;
