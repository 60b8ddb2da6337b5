/**
 * The gateway that {@code serve} runs: a controller over sockets with its front ends, its invokers
 * by the Open Inference Protocol, its endpoint list and its pages.
 */
package waytrestle.gateway;
