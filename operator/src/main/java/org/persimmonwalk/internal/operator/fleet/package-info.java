/**
 * Polls the administration interfaces of many entry hosts and collects what each reports. The
 * subcommands call {@link FleetPoll}, which runs a control loop on the calling thread: {@link
 * FleetController} decides which hosts to poll, requests complete on the threads of the HTTP client
 * and come back as observations.
 */
package org.persimmonwalk.internal.operator.fleet;
