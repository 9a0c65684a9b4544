/**
 * Decides which backend server runs a statement, from a snapshot of the control state. Traffic
 * threads call it for each statement.
 */
package org.persimmonwalk.routing;
