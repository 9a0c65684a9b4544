/**
 * The public API of the engine that runs callers' sessions on an entry host: statements and
 * answers, the routing configuration, and the interfaces that a front end implements. A front end
 * creates an {@link org.persimmonwalk.engine.Engine}, runs its control loop on one thread and calls
 * its sessions on another, the traffic thread. Message formats are left to the front end.
 */
package org.persimmonwalk.engine;
