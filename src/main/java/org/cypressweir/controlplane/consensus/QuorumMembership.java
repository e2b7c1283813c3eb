package org.cypressweir.controlplane.consensus;

/**
 * What one replica knows of the others and of the voters. The parts live as long as the replica.
 *
 * @param peers the last heartbeat of each peer
 * @param contact as of when a majority of the voters was heard
 * @param status who the voters are
 * @param planner plans changes of the voters
 */
record QuorumMembership(PeerTable peers, QuorumContact contact, VoterStatus status, VoterChangePlanner planner) {}
