/** Tests of the operators' command line. */
package org.persimmonwalk.operator;
