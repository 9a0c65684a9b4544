/**
 * Divides the rate and burst of each workspace between the entry hosts. The control loop runs the
 * controller, which publishes this host's share for the admission policy.
 */
package org.persimmonwalk.internal.control.share;
