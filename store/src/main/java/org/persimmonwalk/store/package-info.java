/**
 * Asynchronous client of the platform, by which entry hosts and the operators' command line use its
 * table service, object store and host list over HTTP.
 */
package org.persimmonwalk.store;
