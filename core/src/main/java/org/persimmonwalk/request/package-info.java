/**
 * The steps from the arrival of a statement to its routing: key check, rate limit and choice of the
 * server. They are independent of the protocol of the front end; traffic threads call them.
 */
package org.persimmonwalk.request;
