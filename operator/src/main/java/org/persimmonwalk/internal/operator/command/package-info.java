/** The subcommands of the operators' command line. */
package org.persimmonwalk.internal.operator.command;
