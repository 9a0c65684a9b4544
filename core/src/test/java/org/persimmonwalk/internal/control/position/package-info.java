/** Tests of positions and confirmed primaries. */
package org.persimmonwalk.internal.control.position;
