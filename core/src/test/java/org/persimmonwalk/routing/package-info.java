/** Tests of routing decisions. */
package org.persimmonwalk.routing;
