/** Tests of the protocol of the platform's invokers. */
package waytrestle.invoker.platform;
