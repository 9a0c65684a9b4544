/**
 * The controller that decides which entry hosts are live and exchanges heartbeats with them, by
 * which hosts also learn of each other's configuration revision and demand. It runs on the control
 * thread.
 */
package org.persimmonwalk.internal.control.membership;
