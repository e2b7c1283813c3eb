package org.cypressweir.controlplane.consensus;

/**
 * What one replica knows of the others and of the voters. The parts live as long as the replica.
 *
 * @param peers the last heartbeat of each peer
 * @param contact when this replica was last in contact with a majority of the voters
 * @param status who the voters are
 * @param planner plans changes of the voters
 */
record QuorumMembership(PeerTable peers, QuorumContact contact, VoterStatus status, VoterChangePlanner planner) {}
