/** What the process hears from the operating system. May be used from any thread. */
package waytrestle.runtime;
