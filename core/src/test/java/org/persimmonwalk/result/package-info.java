/** Tests of the result codes. */
package org.persimmonwalk.result;
