/** Puts the parts of an entry host together. */
package org.persimmonwalk.internal.assembly;
