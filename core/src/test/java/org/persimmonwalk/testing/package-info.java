/**
 * Hand-written fakes of the clock, the platform, the network and the database servers, and fleets
 * of entry hosts that run their control loops in simulated time. Tests and benchmarks of several
 * packages and modules use them.
 */
package org.persimmonwalk.testing;
