/**
 * The command line with which operators publish release notes and inspect entry hosts. {@link
 * OperatorMain} is the main class; {@link OperatorCommandLine} can also be called by programs. A
 * call blocks its thread until the subcommand has ended.
 */
package org.persimmonwalk.operator;
