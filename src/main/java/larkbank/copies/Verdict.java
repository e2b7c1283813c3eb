package larkbank.copies;

import larkbank.manifest.Manifest;
import larkbank.manifest.Refusal;

/** What becomes of a ticket. */
public sealed interface Verdict {

    /** The order stands in the state of that stamp, now or before. */
    record Taken(Stamp stamp) implements Verdict { }

    record Refused(Refusal refusal) implements Verdict { }

    /** Nothing is known to have been agreed: whether it will stand is open. */
    record Unavailable(String reason) implements Verdict { }

    record Read(Manifest manifest) implements Verdict { }
}
