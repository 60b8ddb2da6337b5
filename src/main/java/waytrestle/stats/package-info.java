/**
 * Sums and averages over time, shared by everything that learns from traffic. Free of I/O and
 * clocks: times are passed in. Not thread-safe.
 */
package waytrestle.stats;
