package org.cypressweir.controlplane.consensus;

/**
 * The three roles of Paxos that one replica plays. They live as long as the replica.
 *
 * @param acceptorRequests answers the prepare and accept messages of other proposers
 * @param committedState the learner of a replica that holds a state
 * @param learner the learner of a replica with an empty disk
 */
record PaxosRoles(
        Acceptor acceptor,
        AcceptorRequestHandler acceptorRequests,
        Proposer proposer,
        CommittedState committedState,
        Learner learner) {}
