/**
 * Release notes, the changes to the configuration that operators submit. The package merges a note
 * into the current configuration, reports all its faults, and publishes the result on the platform.
 * The operator's command-line client calls it; entry hosts only read the published configuration.
 */
package org.persimmonwalk.release;
