/** Tests of the set of live hosts. */
package org.persimmonwalk.internal.control.membership;
