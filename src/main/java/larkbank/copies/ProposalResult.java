package larkbank.copies;

import larkbank.manifest.Manifest;
import larkbank.manifest.Refusal;

/** What becomes of a ticket. */
public sealed interface ProposalResult {

    /** The order stands in the state of that stamp, now or before. */
    record Taken(Ballot stamp) implements ProposalResult {}

    record Refused(Refusal refusal) implements ProposalResult {}

    /** Nothing is known to have been agreed: whether it will stand is open. */
    record Unavailable(String reason) implements ProposalResult {}

    record Read(Manifest manifest) implements ProposalResult {}
}
