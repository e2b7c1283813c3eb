package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;

/** What the caller has to do, in the order given. */
public sealed interface Effect {

    record Send(String to, Map<String, Object> message) implements Effect {}

    /** To be written durably, then told by {@link ConsensusReplica#written}. There is one at a time. */
    record Write(long number, StorageUpdate change) implements Effect {}

    record Answer(long ticket, ProposalResult verdict) implements Effect {}

    /** That state is decided. Stamps rise from one to the next. */
    record Show(ProposalNumber stamp, Configuration manifest, List<String> crew) implements Effect {}
}
