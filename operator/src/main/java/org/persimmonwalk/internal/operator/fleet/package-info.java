/** Asks many entry hosts for their state through their administration interfaces. */
package org.persimmonwalk.internal.operator.fleet;
