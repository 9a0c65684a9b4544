/** Tests of how an entry host is put together. */
package org.persimmonwalk.internal.assembly;
