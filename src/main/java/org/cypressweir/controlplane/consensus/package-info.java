/**
 * Consensus on the configuration among the controllers: Paxos over a single register that holds the whole
 * configuration and the set of voters, without a log or an elected leader. Decisions only: no I/O and no
 * clock; {@link org.cypressweir.controlplane.consensus.ConsensusReplica} is the entry.
 */
package org.cypressweir.controlplane.consensus;
