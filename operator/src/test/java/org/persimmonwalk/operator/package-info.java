/** Tests of the operators' command line with a stand-in platform and in-process entry hosts. */
package org.persimmonwalk.operator;
