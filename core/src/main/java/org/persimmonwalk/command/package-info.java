/**
 * The commands that controllers submit. A {@link org.persimmonwalk.port.CommandExecutor} executes
 * them after the round and posts their results as observations.
 */
package org.persimmonwalk.command;
