package org.persimmonwalk.engine;

/**
 * Settings of a database group.
 *
 * @param maximumConnections the connections that each of its servers accepts from all hosts
 *     together
 * @param synchronousReplicas the replicas that must receive a commit before it is acknowledged
 */
public record GroupSettings(int maximumConnections, int synchronousReplicas) {}
