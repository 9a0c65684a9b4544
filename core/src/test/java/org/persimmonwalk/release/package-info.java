/** Tests of merging and publishing release notes, with a fake configuration store. */
package org.persimmonwalk.release;
