package org.persimmonwalk.engine;

/**
 * The content of a prepared statement, independent of the name that a session gives it.
 *
 * @param write whether executing it writes data
 * @param text the statement that the caller prepared; it may contain blanks
 */
public record StatementTemplate(boolean write, String text) {}
