/**
 * The subcommands of the operators' command line. {@link SubcommandCatalog} lists them by name; the
 * command line sets their options and runs one of them on the main thread with an {@link
 * OperatorSession}, through which it reaches the platform, the entry hosts and the output.
 */
package org.persimmonwalk.internal.operator.command;
