/** The blackboard of an entry host, its controllers and the control loop. */
package org.persimmonwalk.blackboard;
