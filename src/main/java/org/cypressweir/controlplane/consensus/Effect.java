package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;

/** What the caller of a {@link ConsensusReplica} has to do, in the order given. */
public sealed interface Effect {

    /** Send a message to an address, or to the address of a replica key. It may be lost. */
    record Send(String to, Map<String, Object> message) implements Effect {}

    /** Write durably, then call {@link ConsensusReplica#written}. There is one in flight at a time. */
    record Write(long number, StorageUpdate change) implements Effect {}

    /** Answer whoever submitted that proposal. */
    record Answer(long proposalId, ProposalResult result) implements Effect {}

    /** Show a committed state. The numbers rise from one to the next. */
    record Show(ProposalNumber number, Configuration configuration, List<String> voters) implements Effect {}
}
