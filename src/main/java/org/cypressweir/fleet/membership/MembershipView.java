package org.cypressweir.fleet.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Applies what is learned of other members to the table and to the view, and tells of the changes. A removal that
 * another member reports takes effect after a grace, within which the removed member may deny it by a higher
 * incarnation. A member that comes back stays in the view while it waits to be admitted.
 */
final class MembershipView {

    /** Hears of changes; called before {@link MembershipProtocol.Actions#changed}. */
    interface Listener {
        /** The name is that of another process or another incarnation from now on. */
        void incarnationChanged(long now, String name);

        /** The member is not in the view any more. */
        void removed(String name);

        /** A member has joined, so that earlier decisions may change. */
        void joined(String name);

        /** Those that have to be monitored may be others now. */
        void monitoringChanged();
    }

    private record PendingRemoval(long at, String reportedBy) {}

    private final MembershipContext context;
    private final LocalMember localMember;
    private final Listener listener;
    private final Map<String, PendingRemoval> pendingRemovals = new TreeMap<>();
    /** Candidates, and since when each waits to be admitted. */
    private final Map<String, Long> candidates = new TreeMap<>();

    MembershipView(MembershipContext context, LocalMember localMember, Listener listener) {
        this.context = context;
        this.localMember = localMember;
        this.listener = listener;
    }

    /** Members in the view, this process among them. */
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

    /** Takes a record over that was told by a member. */
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
        context.changedAt = now;
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
            removed(name, "said so", Change.Kind.LEFT);
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
                pendingRemovals.put(name, new PendingRemoval(now + context.options.silenceMicros(), from));
            }
        }
        if (merged.status() == MemberStatus.MEMBER) {
            pendingRemovals.remove(name);
        }
    }

    private void joined(MemberRecord record, String from) {
        listener.joined(record.name());
        context.actions.changed(new Change(
                record.incarnation() > 1 ? Change.Kind.BACK : Change.Kind.JOINED,
                record.name(),
                record.incarnation(),
                "told by " + (from.isEmpty() ? "itself" : from),
                liveCount()));
    }

    /** Removes a member, by a decision of this process or one that it takes over. */
    void remove(long now, String name, String cause) {
        MemberRecord record = context.table.get(name);
        boolean wasInView = context.table.isInView(name);
        MemberRecord ended = record.status().isEnded() ? record : record.withStatus(MemberStatus.OUT);
        context.table.put(now, ended, false);
        context.changedAt = now;
        candidates.remove(name);
        if (wasInView) {
            removed(name, cause, Change.Kind.OUT);
        }
    }

    private void removed(String name, String cause, Change.Kind kind) {
        pendingRemovals.remove(name);
        listener.removed(name);
        int incarnation = context.table.get(name).incarnation();
        context.actions.changed(new Change(kind, name, incarnation, cause, liveCount()));
    }

    /** Carries out removals that nobody has denied in time. */
    void applyPendingRemovals(long now) {
        for (String name : List.copyOf(pendingRemovals.keySet())) {
            PendingRemoval removal = pendingRemovals.get(name);
            if (removal.at > now) {
                continue;
            }
            if (context.table.get(name).status() == MemberStatus.CANDIDATE) {
                // Its record stays as others know it: it may yet be admitted.
                context.table.removeFromView(name);
                removed(name, "nobody has let it in again", Change.Kind.OUT);
            } else {
                remove(now, name, "told by " + removal.reportedBy);
            }
        }
    }

    /** Time for which this process was paused does not count. */
    void excludePause(long pausedMicros) {
        pendingRemovals.replaceAll(
                (name, removal) -> new PendingRemoval(removal.at + pausedMicros, removal.reportedBy));
    }

    /** Candidates that nobody has admitted for long are removed. */
    void expireCandidates(long now) {
        for (Map.Entry<String, Long> candidate : Map.copyOf(candidates).entrySet()) {
            if (now - candidate.getValue() > MemberTable.ENDED_SPREAD_MICROS) {
                remove(now, candidate.getKey(), "nobody has let it in");
            }
        }
    }
}
