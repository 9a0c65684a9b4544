/**
 * The observations that are posted to the control loop: results of commands, messages from peers,
 * and measurements of the traffic threads.
 */
package org.persimmonwalk.observation;
