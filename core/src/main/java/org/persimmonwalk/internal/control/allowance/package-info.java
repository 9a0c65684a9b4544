/** How many connections this host may have open to each backend server. */
package org.persimmonwalk.internal.control.allowance;
