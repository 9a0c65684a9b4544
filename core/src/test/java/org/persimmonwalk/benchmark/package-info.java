/**
 * Benchmarks that compare the controllers and policies with simple baselines in simulated time.
 * They are started by hand from their main methods and print their results.
 */
package org.persimmonwalk.benchmark;
