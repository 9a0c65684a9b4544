/** Tests of the assembly of an entry host. */
package org.persimmonwalk.internal.assembly;
