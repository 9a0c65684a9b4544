/**
 * Prints the results of subcommands, either as text for people or as JSON for programs. Results go
 * to standard output; progress and failures go to standard error.
 */
package org.persimmonwalk.internal.operator.output;
