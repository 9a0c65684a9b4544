/**
 * Measures how the load of an entry host and of the platform store grows with the size of the
 * deployment.
 *
 * <p>{@link org.persimmonwalk.bench.capacity.CapacityBenchmark} runs the measurements one after
 * another on the main thread and fits a line to each quantity. The control loop and the store are
 * measured in simulated time, statements, idle connections and probes on a real entry host.
 */
package org.persimmonwalk.bench.capacity;
