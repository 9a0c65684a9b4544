/** Tests of the control loop. */
package org.persimmonwalk.blackboard;
