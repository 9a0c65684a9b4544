/** Tests of the entry host. */
package org.persimmonwalk.entryhost;
