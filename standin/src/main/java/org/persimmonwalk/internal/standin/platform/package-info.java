/**
 * Implements the stand-in platform behind {@link org.persimmonwalk.standin.StandInPlatform}: its
 * tables, objects and host list, the HTTP and JSON front end, and the faults injected into it.
 */
package org.persimmonwalk.internal.standin.platform;
