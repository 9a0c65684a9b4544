/** Tests of certificates, keys and the TLS contexts made of them. */
package org.persimmonwalk.internal.tls;
