/** Argument checks shared by value types. */
package org.persimmonwalk.internal.check;
