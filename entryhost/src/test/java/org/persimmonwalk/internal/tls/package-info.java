/** Tests of loading certificates and keys, and of TLS connections that use them. */
package org.persimmonwalk.internal.tls;
