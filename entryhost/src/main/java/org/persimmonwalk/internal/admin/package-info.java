/**
 * The administration interface of an entry host: HTTP with JSON for operators and load balancers.
 * It runs on one thread of its own and reads the control state only through published snapshots.
 */
package org.persimmonwalk.internal.admin;
