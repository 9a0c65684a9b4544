/** Tests of the polling of many entry hosts. */
package org.persimmonwalk.internal.operator.fleet;
