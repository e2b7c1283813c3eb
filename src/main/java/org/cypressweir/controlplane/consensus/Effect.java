package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;

/** An action that a {@link ConsensusReplica} requests of its caller, to be carried out in the order given. */
public sealed interface Effect {

    /** Send a message to an address, or to the address of a replica key. It may be lost. */
    record Send(String to, Map<String, Object> message) implements Effect {}

    /** Write durably, then call {@link ConsensusReplica#written}. At most one write is in flight at a time. */
    record Write(long number, StorageUpdate update) implements Effect {}

    /** Return the result to whoever submitted that proposal. */
    record Answer(long proposalId, ProposalResult result) implements Effect {}

    /** Publish a committed state. Each has a higher number than the one published before. */
    record Publish(ProposalNumber number, Configuration configuration, List<String> voters) implements Effect {}
}
