package org.cypressweir.fleet.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Applies updates about other members to the table and to the view, and notifies of the changes. A removal that another
 * member reports takes effect after a grace period, in which the removed member may refute it with a higher
 * incarnation. A member that rejoins stays in the view while it waits to be admitted.
 */
final class MembershipView {

    /** Is notified of changes before {@link MembershipProtocol.Actions#viewChanged} is called. */
    interface Listener {
        /** The name now belongs to another process or another incarnation. */
        void incarnationChanged(long now, String name);

        /** The member is no longer in the view. */
        void removed(String name);

        /** A member has joined, so earlier decisions may change. */
        void joined(String name);

        /** The set of members to monitor may have changed. */
        void monitoringChanged();
    }

    private record PendingRemoval(long dueAt, String reportedBy) {}

    private final MembershipContext context;
    private final LocalMember localMember;
    private final Listener listener;
    private final Map<String, PendingRemoval> pendingRemovals = new TreeMap<>();
    /** Candidates, and the time since which each waits to be admitted. */
    private final Map<String, Long> candidates = new TreeMap<>();

    MembershipView(MembershipContext context, LocalMember localMember, Listener listener) {
        this.context = context;
        this.localMember = localMember;
        this.listener = listener;
    }

    /** Number of members in the view, including this process. */
    int liveCount() {
        return localMember.isAlone() ? 1 : context.table.liveCount();
    }

    boolean contains(String name) {
        return context.isSelf(name) || !localMember.isAlone() && context.table.isInView(name);
    }

    Set<String> candidates() {
        return candidates.keySet();
    }

    boolean hasPendingRemoval(String name) {
        return pendingRemovals.containsKey(name);
    }

    /** Merges a record that a member has sent. */
    void learn(long now, MemberRecord record, String from) {
        String name = record.name();
        if (context.isSelf(name)) {
            localMember.learn(now, record);
            return;
        }
        MemberRecord old = context.table.get(name);
        if (old == null && (context.table.size() >= context.options.maxMembers() || MemberTable.isStale(record))) {
            return;
        }
        MemberRecord merged = old == null ? record : old.merge(record);
        if (merged != old) {
            apply(now, old, merged, from);
        }
    }

    private void apply(long now, MemberRecord old, MemberRecord merged, String from) {
        String name = merged.name();
        MemberStatus status = merged.status();
        boolean wasInView = context.table.isInView(name);
        boolean staysInView = wasInView && status != MemberStatus.LEFT;
        context.table.put(now, merged, staysInView || status == MemberStatus.MEMBER);
        context.tableChangedAt = now;
        context.disseminate(now, merged, from);
        if (old == null || !old.isSameIncarnation(merged)) {
            pendingRemovals.remove(name);
            listener.incarnationChanged(now, name);
        }
        updateCandidates(now, merged, wasInView, from);
        if (wasInView != context.table.isInView(name) || status == MemberStatus.CANDIDATE) {
            listener.monitoringChanged();
        }
        if (status == MemberStatus.OUT && wasInView) {
            pendingRemovals.putIfAbsent(name, new PendingRemoval(now + context.options.graceMicros(), from));
        } else if (status == MemberStatus.LEFT && wasInView) {
            removed(name, "announced that it leaves", MembershipChange.Kind.LEFT);
        } else if (status == MemberStatus.MEMBER && !wasInView) {
            joined(merged, from);
        }
    }

    private void updateCandidates(long now, MemberRecord merged, boolean wasInView, String from) {
        String name = merged.name();
        if (merged.status() != MemberStatus.CANDIDATE) {
            candidates.remove(name);
        } else {
            candidates.putIfAbsent(name, now);
            if (wasInView) {
                pendingRemovals.put(name, new PendingRemoval(now + context.options.contactTimeoutMicros(), from));
            }
        }
        if (merged.status() == MemberStatus.MEMBER) {
            pendingRemovals.remove(name);
        }
    }

    private void joined(MemberRecord record, String from) {
        listener.joined(record.name());
        context.actions.viewChanged(new MembershipChange(
                record.incarnation() > 1 ? MembershipChange.Kind.BACK : MembershipChange.Kind.JOINED,
                record.name(),
                record.incarnation(),
                "reported by " + (from.isEmpty() ? "itself" : from),
                liveCount()));
    }

    /** Removes a member, by a decision of this process or of another one that it adopts. */
    void remove(long now, String name, String cause) {
        MemberRecord record = context.table.get(name);
        boolean wasInView = context.table.isInView(name);
        MemberRecord ended = record.status().isEnded() ? record : record.withStatus(MemberStatus.OUT);
        context.table.put(now, ended, false);
        context.tableChangedAt = now;
        candidates.remove(name);
        if (wasInView) {
            removed(name, cause, MembershipChange.Kind.OUT);
        }
    }

    private void removed(String name, String cause, MembershipChange.Kind kind) {
        pendingRemovals.remove(name);
        listener.removed(name);
        int incarnation = context.table.get(name).incarnation();
        context.actions.viewChanged(new MembershipChange(kind, name, incarnation, cause, liveCount()));
    }

    /** Carries out removals that were not refuted in time. */
    void applyPendingRemovals(long now) {
        for (String name : List.copyOf(pendingRemovals.keySet())) {
            PendingRemoval removal = pendingRemovals.get(name);
            if (removal.dueAt > now) {
                continue;
            }
            if (context.table.get(name).status() == MemberStatus.CANDIDATE) {
                // Its record stays as others know it, since it may still be admitted.
                context.table.removeFromView(name);
                removed(name, "not admitted again in time", MembershipChange.Kind.OUT);
            } else {
                remove(now, name, "reported by " + removal.reportedBy);
            }
        }
    }

    /** Defers pending removals by the time for which this process was paused. */
    void excludePause(long pausedMicros) {
        pendingRemovals.replaceAll(
                (name, removal) -> new PendingRemoval(removal.dueAt + pausedMicros, removal.reportedBy));
    }

    /** Removes candidates that have waited too long to be admitted. */
    void expireCandidates(long now) {
        for (Map.Entry<String, Long> candidate : Map.copyOf(candidates).entrySet()) {
            if (now - candidate.getValue() > MemberTable.TOMBSTONE_SPREAD_MICROS) {
                remove(now, candidate.getKey(), "not admitted in time");
            }
        }
    }
}
