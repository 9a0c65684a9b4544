/** Routing decisions for statements. */
package org.persimmonwalk.routing;
