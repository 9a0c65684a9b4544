/**
 * Handlers that carry out the commands of the controllers. The control thread starts each command;
 * results are posted to the control loop as observations.
 */
package org.persimmonwalk.internal.execution;
