/**
 * In-process imitations of the backend servers and of the platform, for tests and the demo. Tests
 * start them, inject faults and read counters through {@link
 * org.persimmonwalk.standin.StandInGroup} and {@link org.persimmonwalk.standin.StandInPlatform}.
 */
package org.persimmonwalk.standin;
