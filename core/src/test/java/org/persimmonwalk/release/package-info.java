/** Tests of release notes. */
package org.persimmonwalk.release;
