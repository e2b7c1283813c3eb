package org.cypressweir.fleet.membership;

import java.util.SplittableRandom;

/**
 * State shared by the parts of the protocol: options, identity of this process, known members, updates to be
 * disseminated.
 */
final class MembershipContext {

    final MembershipProtocol.Actions actions;
    final SplittableRandom random;
    final MemberTable table = new MemberTable();
    final UpdateDisseminator disseminator = new UpdateDisseminator();
    MembershipOptions options;
    /** Identity of this process in its current incarnation. */
    Peer self;
    /** When the table was last changed, by this process or by an update that it received. */
    long tableChangedAt;

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
        tableChangedAt = now;
    }

    MemberRecord ownRecord() {
        return table.get(self.name());
    }

    boolean isSelf(String name) {
        return name.equals(self.name());
    }

    /** Disseminates an update that another member has sent; {@code from} is empty if it originates in this process. */
    void disseminate(long now, MemberRecord update, String from) {
        disseminator.add(update, from, disseminationEnd(now));
    }

    void disseminate(long now, FailureReport update, String from) {
        disseminator.add(update, from, disseminationEnd(now));
    }

    /** Time until which an update is piggybacked on other messages. */
    private long disseminationEnd(long now) {
        return now + 2 * options.graceMicros();
    }
}
