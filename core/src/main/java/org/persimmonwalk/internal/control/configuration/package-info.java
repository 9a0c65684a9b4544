/**
 * Loads the newest configuration from the store or from a peer, and puts it in force on this host.
 */
package org.persimmonwalk.internal.control.configuration;
