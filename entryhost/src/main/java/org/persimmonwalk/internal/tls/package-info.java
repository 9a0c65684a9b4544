/**
 * TLS for callers and mutual TLS between entry hosts: loads certificates and keys from PEM files,
 * reports their faults, and reloads the files while the host runs.
 */
package org.persimmonwalk.internal.tls;
