/** Observations that executors and traffic threads post to the control loop. */
package org.persimmonwalk.observation;
