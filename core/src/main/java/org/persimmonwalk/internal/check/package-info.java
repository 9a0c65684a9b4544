/** Argument checks that the value types share. */
package org.persimmonwalk.internal.check;
