/** The operators' command line. */
package org.persimmonwalk.operator;
