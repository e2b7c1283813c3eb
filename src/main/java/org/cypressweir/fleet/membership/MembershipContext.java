package org.cypressweir.fleet.membership;

import java.util.SplittableRandom;

/** What the parts of the protocol share: options, identity of this process, known members, updates to be spread. */
final class MembershipContext {

    final MembershipProtocol.Actions actions;
    final SplittableRandom random;
    final MemberTable table = new MemberTable();
    final UpdateDisseminator disseminator = new UpdateDisseminator();
    MembershipOptions options;
    /** This process under its present incarnation. */
    Peer self;
    /** When the table was changed last, by this process or by what it learned. */
    long changedAt;

    MembershipContext(
            long now,
            MembershipOptions options,
            Peer self,
            SplittableRandom random,
            MembershipProtocol.Actions actions) {
        this.options = options;
        this.self = self;
        this.random = random;
        this.actions = actions;
        changedAt = now;
    }

    MemberRecord ownRecord() {
        return table.get(self.name());
    }

    boolean isSelf(String name) {
        return name.equals(self.name());
    }

    /** Spreads what another member has told; the name is empty for what comes from this process. */
    void disseminate(long now, MemberRecord update, String from) {
        disseminator.add(update, from, disseminationEnd(now));
    }

    void disseminate(long now, FailureReport update, String from) {
        disseminator.add(update, from, disseminationEnd(now));
    }

    /** Until then an update is piggybacked on other messages. */
    private long disseminationEnd(long now) {
        return now + 2 * options.graceMicros();
    }
}
