package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Rejection;

/** The result of a proposal, as its caller gets it. */
public sealed interface ProposalResult {

    /** The change is part of the committed state of that number, or was part of an earlier one. */
    record Committed(ProposalNumber number) implements ProposalResult {}

    /** The change is invalid, or conflicts with the state that it was applied to. It has had no effect. */
    record Rejected(Rejection rejection) implements ProposalResult {}

    /** The outcome is unknown: a change may be committed already, may be later, or never. */
    record Unavailable(String reason) implements ProposalResult {}

    /** The configuration at some time after the read was submitted. */
    record Read(Configuration configuration) implements ProposalResult {}
}
