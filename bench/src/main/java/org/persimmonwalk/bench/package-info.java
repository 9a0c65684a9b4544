/**
 * The demo, the benchmarks, and the deployment in one process on which they and the acceptance
 * tests run.
 */
package org.persimmonwalk.bench;
