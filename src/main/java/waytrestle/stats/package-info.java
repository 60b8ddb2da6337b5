/**
 * Sums and averages that decay over time, for classes that learn from traffic. They do no I/O and
 * read no clock: callers pass the time in microseconds. They are not thread-safe.
 */
package waytrestle.stats;
