/**
 * Metrics: counters, gauges and latency summaries, and their text form for Prometheus.
 *
 * <p>Each event loop holds a {@link waytrestle.metrics.Metrics} of its own, which only that event
 * loop uses. The package does no I/O and starts no threads.
 */
package waytrestle.metrics;
