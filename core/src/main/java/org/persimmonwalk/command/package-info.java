/**
 * The commands that controllers submit. A {@link org.persimmonwalk.port.CommandExecutor} carries
 * them out after the round and posts their results as observations.
 */
package org.persimmonwalk.command;
