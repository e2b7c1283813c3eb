package org.cypressweir.fleet.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Determines which members this process monitors: its neighbors in the rings, candidates that would be its neighbors,
 * and members that it has reached directly. While members are being removed the rings are frozen: new neighbors would
 * count as in contact until their contact times out, so that a partition would be detected piece by piece.
 */
final class MonitoringTopology {

    private final MembershipContext context;
    private final MonitoredPeers monitoredPeers;
    private final MembershipView view;
    private final MonitoringRings.Cache cache;
    /**
     * Members that were reached directly while they could not be reached through neighbors, and until when that counts.
     */
    private final Map<String, Long> directContacts = new HashMap<>();

    private MonitoringRings rings;
    private long ringsFingerprint;
    private boolean isOutdated = true;
    /** When the rings may change, if no further member is found lost until then. */
    private long stableAt = Long.MIN_VALUE;
    /** When the rings may change in any case. */
    private long frozenUntil = Long.MIN_VALUE;

    MonitoringTopology(
            MembershipContext context,
            MonitoredPeers monitoredPeers,
            MembershipView view,
            MonitoringRings.Cache cache) {
        this.context = context;
        this.monitoredPeers = monitoredPeers;
        this.view = view;
        this.cache = cache;
    }

    void invalidate() {
        isOutdated = true;
    }

    MonitoringRings rings(long now) {
        long fingerprint = context.table.viewFingerprint();
        boolean hasViewChanged = rings == null || ringsFingerprint != fingerprint;
        boolean mayChange = rings == null || now >= stableAt || now >= frozenUntil;
        if (hasViewChanged && mayChange) {
            ringsFingerprint = fingerprint;
            rings = cache.of(fingerprint, context.table::viewNames);
            isOutdated = true;
        }
        return rings;
    }

    /**
     * Freezes the rings, because members are being lost. The time is bounded, so that a partition that comes and goes
     * does not block changes.
     */
    void freeze(long now) {
        if (now >= stableAt) {
            frozenUntil = now + 2 * context.options.contactTimeoutMicros();
        }
        stableAt = now + 2 * context.options.graceMicros();
    }

    /** Updates the set of monitored peers. */
    void update(long now) {
        MonitoringRings current = rings(now);
        if (!isOutdated) {
            return;
        }
        isOutdated = false;
        String self = context.self.name();
        Set<String> names = new TreeSet<>(current.neighborsOf(self));
        names.addAll(directContacts.keySet());
        names.removeIf(name -> !context.table.isInView(name));
        for (String candidate : view.candidates()) {
            if (current.neighborsOf(candidate).contains(self)) {
                names.add(candidate);
            }
        }
        names.remove(self);
        monitoredPeers.monitor(now, names);
    }

    void addDirectContact(String name, long until) {
        directContacts.put(name, until);
        isOutdated = true;
    }

    boolean isDirectContact(String name) {
        return directContacts.containsKey(name);
    }

    void removeDirectContact(String name) {
        directContacts.remove(name);
    }

    void expireDirectContacts(long now) {
        if (directContacts.values().removeIf(until -> now > until)) {
            isOutdated = true;
        }
    }
}
