/** Tests of the argument checks. */
package org.persimmonwalk.internal.check;
