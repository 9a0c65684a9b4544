/** Tests of the questions to many hosts. */
package org.persimmonwalk.internal.operator.fleet;
