package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Rejection;

/** What becomes of a proposal, as its caller is told. */
public sealed interface ProposalResult {

    /** The change is part of the committed state of that number, or was of one before. */
    record Taken(ProposalNumber number) implements ProposalResult {}

    /** The change contradicts the state it was applied to, or the rules. It has had no effect. */
    record Refused(Rejection refusal) implements ProposalResult {}

    /** Nothing is known to have been agreed: whether it will be is open. */
    record Unavailable(String reason) implements ProposalResult {}

    /** The configuration as of some moment since the read was submitted. */
    record Read(Configuration configuration) implements ProposalResult {}
}
