/** Tests of sampling and of positions. */
package org.persimmonwalk.internal.control.position;
