/** Tests of the handling of callers. */
package org.persimmonwalk.internal.traffic.caller;
