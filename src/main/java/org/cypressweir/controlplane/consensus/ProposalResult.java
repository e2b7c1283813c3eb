package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Rejection;

/** What becomes of a ticket. */
public sealed interface ProposalResult {

    /** The order stands in the state of that stamp, now or before. */
    record Taken(ProposalNumber stamp) implements ProposalResult {}

    record Refused(Rejection refusal) implements ProposalResult {}

    /** Nothing is known to have been agreed: whether it will stand is open. */
    record Unavailable(String reason) implements ProposalResult {}

    record Read(Configuration manifest) implements ProposalResult {}
}
