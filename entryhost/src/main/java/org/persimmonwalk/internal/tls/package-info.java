/** Certificates and keys from PEM files, and the TLS contexts made of them. */
package org.persimmonwalk.internal.tls;
