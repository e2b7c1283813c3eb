package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Addresses;

/**
 * This process as a member: its own record, and its response to what others report about it. A process that learns that
 * it was removed rejoins under a higher incarnation, as a candidate.
 */
final class LocalMember {

    private final MembershipContext context;
    private final MonitoredPeers monitoredPeers;
    /** Whether this process was ever admitted: some member has exchanged messages with it both ways. */
    private boolean wasAdmitted;

    private boolean isLeaving;
    /** Whether another process holds the name; this one then neither sends nor receives messages. */
    private boolean hasLostName;
    /**
     * Whether this process was removed or never admitted, and has been a candidate for longer than the contact
     * time-out. It then considers itself the only member.
     */
    private boolean isIsolated;

    private long candidateSince;

    LocalMember(long now, MembershipContext context, MonitoredPeers monitoredPeers, Map<String, String> facts) {
        this.context = context;
        this.monitoredPeers = monitoredPeers;
        candidateSince = now;
        context.table.put(now, new MemberRecord(context.self, MemberStatus.CANDIDATE, 1, facts, 0), true);
    }

    /** Starts as an admitted member of a fleet that is already running. */
    void startAdmitted(long now) {
        wasAdmitted = true;
        candidateSince = now;
    }

    boolean wasAdmitted() {
        return wasAdmitted;
    }

    boolean isLeaving() {
        return isLeaving;
    }

    boolean hasLostName() {
        return hasLostName;
    }

    /** Whether its view contains only itself, whatever the table says. */
    boolean isAlone() {
        return hasLostName || isIsolated;
    }

    boolean isCandidate() {
        return context.ownRecord().status() == MemberStatus.CANDIDATE;
    }

    void updateFacts(long now, Map<String, String> facts) {
        MemberRecord own = context.ownRecord();
        if (!own.facts().equals(facts)) {
            announce(now, new MemberRecord(context.self, own.status(), own.version() + 1, facts, 0));
        }
    }

    /** Announces that this process leaves; returns false if it has done so already or has lost its name. */
    boolean leave(long now) {
        if (isLeaving || hasLostName) {
            return false;
        }
        isLeaving = true;
        announce(now, context.ownRecord().withStatus(MemberStatus.LEFT));
        return true;
    }

    /** Handles a refusal by another process that holds the same name. */
    void receiveRefusal(MembershipMessage refusal) {
        boolean isForThisProcess = refusal.number() == context.self.processId();
        if (isForThisProcess && !wasAdmitted) {
            hasLostName = true;
            context.actions.nameRefused(refusal.text());
        }
    }

    /** Handles a record about this process that another member has sent. */
    void learn(long now, MemberRecord record) {
        boolean isSameProcess = record.peer().processId() == context.self.processId();
        boolean wasRemoved = record.status().isEnded() && record.incarnation() >= context.self.incarnation();
        if (wasRemoved || isSameProcess && record.incarnation() > context.self.incarnation()) {
            if (!isLeaving) {
                rejoin(now, record.incarnation() + 1);
            }
        } else if (isSameProcess) {
            learnOfSameIncarnation(now, record);
        } else if (context.ownRecord().isSupersededBy(record.peer())) {
            loseName(record.peer());
        } else {
            context.disseminate(now, context.ownRecord(), "");
        }
    }

    private void learnOfSameIncarnation(long now, MemberRecord record) {
        MemberRecord own = context.ownRecord();
        MemberRecord merged = own.merge(record);
        if (merged == own || isLeaving) {
            return;
        }
        wasAdmitted |= merged.status() == MemberStatus.MEMBER;
        context.table.put(now, merged, true);
        context.disseminate(now, merged, "");
    }

    private void loseName(Peer other) {
        if (wasAdmitted && other.startedAtMillis() > context.self.startedAtMillis()) {
            hasLostName = true;
            context.actions.log("name '" + context.self.name() + "' was taken by the process at "
                    + Addresses.text(other.address())
                    + " while this one could not be reached; this process no longer participates");
        }
    }

    private void rejoin(long now, int incarnation) {
        context.self = context.self.withIncarnation(incarnation);
        MemberRecord own = context.ownRecord();
        monitoredPeers.links().forEach(link -> link.lastReportAt = 0);
        announce(now, new MemberRecord(context.self, MemberStatus.CANDIDATE, own.version(), own.facts(), 0));
        context.actions.log("was put out, and comes back as incarnation " + incarnation);
    }

    private void announce(long now, MemberRecord own) {
        context.table.put(now, own, true);
        context.tableChangedAt = now;
        context.disseminate(now, own, "");
    }

    /**
     * Updates whether this process considers itself the only member. A removed process does not remove others, so that
     * the contacts it has lost are not disseminated through a member that it still reaches.
     */
    void updateIsolation(long now) {
        if (!isCandidate()) {
            candidateSince = now;
        }
        boolean isUnadmitted = now - candidateSince > context.options.contactTimeoutMicros();
        boolean isIsolatedNow = context.table.liveCount() > 1 && isUnadmitted;
        if (isIsolatedNow != isIsolated) {
            isIsolated = isIsolatedNow;
            context.actions.log(
                    isIsolated ? "no member has admitted this process; it considers itself alone" : "admitted again");
        }
    }
}
