/** Tests of the division of workspace rates and bursts between entry hosts. */
package org.persimmonwalk.internal.control.share;
