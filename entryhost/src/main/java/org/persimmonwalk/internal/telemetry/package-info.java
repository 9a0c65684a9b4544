/** Traces of statements. */
package org.persimmonwalk.internal.telemetry;
