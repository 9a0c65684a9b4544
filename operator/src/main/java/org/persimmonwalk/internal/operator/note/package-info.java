/**
 * Parses and validates release notes, the YAML files in which operators write changes of the
 * configuration. The subcommands call {@link ReleaseNoteReader} with the path of a file; it reports
 * all faults at once, so that an operator can correct them in one go.
 */
package org.persimmonwalk.internal.operator.note;
