/** The entry host process. */
package org.persimmonwalk.entryhost;
