/**
 * Parses the logs of entry hosts and selects the lines that explain why a request failed. The
 * subcommand {@code explain} is the only caller.
 */
package org.persimmonwalk.internal.operator.log;
