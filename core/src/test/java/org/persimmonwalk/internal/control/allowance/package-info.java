/** Tests of connection allowances. */
package org.persimmonwalk.internal.control.allowance;
