/**
 * Consensus on the configuration among the controllers: Paxos over a single register that holds the whole
 * configuration and the set of voters, without a log or an elected leader. The package does no I/O and reads no
 * clock; {@link org.cypressweir.controlplane.consensus.ConsensusReplica} is its entry point.
 */
package org.cypressweir.controlplane.consensus;
