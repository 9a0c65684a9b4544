/**
 * Controllers that promote a new primary when a group's primary has failed, and that make the other
 * servers follow it. They run on the control thread.
 */
package org.persimmonwalk.internal.control.primary;
