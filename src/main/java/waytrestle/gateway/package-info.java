/**
 * The gateway process that the {@code serve} command runs: a controller whose transport is sockets,
 * with its front ends, its clients for invokers by the Open Inference Protocol, its source of the
 * endpoint list, its gossip and its metrics and health pages.
 */
package waytrestle.gateway;
