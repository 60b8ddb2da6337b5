/** Signals from the operating system to the process. May be used from any thread. */
package waytrestle.runtime;
