/**
 * Decides whether a workspace may run a statement now and in which order the waiting statements
 * start at a backend server. Traffic threads call it for each statement.
 */
package org.persimmonwalk.admission;
