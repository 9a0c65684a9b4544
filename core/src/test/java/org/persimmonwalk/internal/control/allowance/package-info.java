/** Tests of the division of backend connections between entry hosts. */
package org.persimmonwalk.internal.control.allowance;
