package larkbank.copies;

import java.util.List;
import java.util.Map;
import larkbank.manifest.Manifest;

/** What the caller has to do, in the order given. */
public sealed interface Effect {

    record Send(String to, Map<String, Object> message) implements Effect {}

    /** To be written durably, then told by {@link Copies#written}. There is one at a time. */
    record Write(long number, Change change) implements Effect {}

    record Answer(long ticket, ProposalResult verdict) implements Effect {}

    /** That state is decided. Stamps rise from one to the next. */
    record Show(Ballot stamp, Manifest manifest, List<String> crew) implements Effect {}
}
