/** When the host starts and ends serving callers. */
package org.persimmonwalk.internal.control.drain;
