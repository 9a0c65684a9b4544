package org.persimmonwalk.engine;

/**
 * Settings of a database group.
 *
 * @param maximumConnections the number of connections that each of its servers accepts from all
 *     hosts together
 * @param synchronousReplicas the number of replicas that must receive a commit before it is
 *     acknowledged
 */
public record GroupSettings(int maximumConnections, int synchronousReplicas) {}
