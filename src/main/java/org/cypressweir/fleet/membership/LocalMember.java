package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Addresses;

/**
 * This process as a member: what it says of itself, and what follows from what others say of it. A process that hears
 * that it was removed comes back under a higher incarnation, as a candidate.
 */
final class LocalMember {

    private final MembershipContext context;
    private final MonitoredPeers monitoredPeers;
    /** Whether some member has ever exchanged messages with this process both ways. */
    private boolean wasAdmitted;

    private boolean isLeaving;
    /** Another process has the name; this one sends and receives nothing any more. */
    private boolean hasLostName;
    /** It was removed, or never admitted, and has been a candidate for long: it takes itself to be alone. */
    private boolean isIsolated;

    private long candidateSince;

    LocalMember(long now, MembershipContext context, MonitoredPeers monitoredPeers, Map<String, String> facts) {
        this.context = context;
        this.monitoredPeers = monitoredPeers;
        candidateSince = now;
        context.table.put(now, new MemberRecord(context.self, MemberStatus.CANDIDATE, 1, facts, 0), true);
    }

    /** It is a member of a running fleet from the beginning. */
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

    /** Whether its view has nobody but itself, whatever the table says. */
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

    /** Says that it leaves; false where it has done so already or has lost its name. */
    boolean leave(long now) {
        if (isLeaving || hasLostName) {
            return false;
        }
        isLeaving = true;
        announce(now, context.ownRecord().withStatus(MemberStatus.LEFT));
        return true;
    }

    /** Another process refuses this one its name. */
    void receiveRefusal(MembershipMessage refusal) {
        boolean isMeant = refusal.number() == context.self.processId();
        if (isMeant && !wasAdmitted) {
            hasLostName = true;
            context.actions.refused(refusal.text());
        }
    }

    /** What others know of this process. */
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
                    + " while this one could not be reached; it takes no part any more");
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
        context.changedAt = now;
        context.disseminate(now, own, "");
    }

    /** A process that was removed decides on nobody, lest its lost contacts be spread by way of one that it reaches. */
    void updateIsolation(long now) {
        if (!isCandidate()) {
            candidateSince = now;
        }
        boolean isUnadmitted = now - candidateSince > context.options.silenceMicros();
        boolean isIsolatedNow = context.table.liveCount() > 1 && isUnadmitted;
        if (isIsolatedNow != isIsolated) {
            isIsolated = isIsolatedNow;
            context.actions.log(
                    isIsolated ? "no member has let this process in; it takes itself to be alone" : "a member again");
        }
    }
}
