/** Tests of the HTTP transport to the platform. */
package org.persimmonwalk.internal.store;
