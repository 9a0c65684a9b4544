/**
 * Tracing of statements with OpenTelemetry, and the distribution of traffic events to several
 * listeners. Both are called on traffic threads; spans are exported in the background.
 */
package org.persimmonwalk.internal.telemetry;
