/** Tests of the start and the planned stop of a host. */
package org.persimmonwalk.internal.control.drain;
