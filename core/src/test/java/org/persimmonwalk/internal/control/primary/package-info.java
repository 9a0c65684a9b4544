/** Tests of failover: promotions, and servers that are made to follow the new primary. */
package org.persimmonwalk.internal.control.primary;
