package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The contact of this process with the peers that it monitors, and its outstanding probes. Contact is a response to a
 * probe of this process and counts from when the probe was sent. An unsolicited message is not contact, since the
 * opposite direction may be partitioned.
 */
final class MonitoredPeers {

    /** A peer counts as in contact while its last contact is fewer periods ago. */
    private static final int CONTACT_PERIODS = 3;
    /** Periods without contact after which an unsolicited message triggers a probe at once. */
    private static final int SILENT_PERIODS = 2;
    /**
     * Intervals between probes are shortened by a random amount of up to one part in this many, so that probes are
     * spread over time.
     */
    private static final int JITTER_DIVISOR = 8;

    /** A monitored peer, and the state of the contact with it. */
    static final class Link {
        final String name;
        long nextProbeAt;
        /** When the last probe that got a response was sent. */
        private long lastContactAt;

        private long lastProbeAt;
        boolean isLost;
        /** When the state of the link was last reported to the other members. */
        long lastReportAt;

        Link(String name, long now, long nextProbeAt) {
            this.name = name;
            lastContactAt = now;
            this.nextProbeAt = nextProbeAt;
        }
    }

    private record Probe(String name, long sentAt) {}

    private MembershipOptions options;
    private final SplittableRandom random;
    private final Map<String, Link> links = new TreeMap<>();
    /** Probes without a response, by number. */
    private final Map<Long, Probe> openProbes = new HashMap<>();

    private long lastProbeNumber;

    MonitoredPeers(MembershipOptions options, SplittableRandom random) {
        this.options = options;
        this.random = random;
    }

    void reconfigure(MembershipOptions newOptions) {
        options = newOptions;
    }

    Collection<Link> links() {
        return links.values();
    }

    /** The link to a peer; null if it is not monitored. */
    Link find(String name) {
        return links.get(name);
    }

    /**
     * Replaces the set of monitored peers. New ones count as in contact now, so that none is reported lost at once.
     */
    void monitor(long now, Set<String> names) {
        links.keySet().retainAll(names);
        for (String name : names) {
            links.computeIfAbsent(name, added -> {
                long nextProbeAt = now + random.nextLong(options.periodMicros());
                return new Link(added, now, nextProbeAt);
            });
        }
    }

    /** Resets the contact with a peer that has a new incarnation: contact with the previous one does not count. */
    void resetContact(long now, String name) {
        Link link = links.get(name);
        if (link != null) {
            link.isLost = false;
            link.lastContactAt = now;
            link.nextProbeAt = now;
        }
    }

    /**
     * Registers a probe that is being sent.
     *
     * @param name name of the peer; empty if only an address is known
     * @return the number of the probe
     */
    long startProbe(long now, String name) {
        lastProbeNumber++;
        openProbes.put(lastProbeNumber, new Probe(name, now));
        Link link = links.get(name);
        if (link != null) {
            boolean isUnanswered = link.lastProbeAt > link.lastContactAt;
            long interval = isUnanswered ? options.periodMicros() / 2 : options.periodMicros();
            link.nextProbeAt = now + interval - random.nextLong(1 + interval / JITTER_DIVISOR);
            link.lastProbeAt = now;
        }
        return lastProbeNumber;
    }

    /** Handles a response; returns whether it is one to an outstanding probe of this process. */
    boolean completeProbe(long number, String responder) {
        Probe probe = openProbes.remove(number);
        if (probe == null) {
            return false;
        }
        Link link = links.get(responder);
        if (link != null && (probe.name.isEmpty() || probe.name.equals(responder))) {
            link.lastContactAt = Math.max(link.lastContactAt, probe.sentAt);
        }
        return true;
    }

    /** Handles a message of any kind from a peer: if responses of the peer fail to arrive, it is probed at once. */
    void receivedUnsolicited(long now, String name) {
        Link link = links.get(name);
        if (link == null) {
            return;
        }
        boolean isSilent = now - link.lastContactAt > options.periodMicros() * SILENT_PERIODS;
        if (isSilent && now - link.lastProbeAt > options.tickMicros()) {
            link.nextProbeAt = Math.min(link.nextProbeAt, now);
        }
    }

    /** Defers the loss of contact by the time for which this process was paused, and has all peers probed at once. */
    void excludePause(long now, long pausedMicros) {
        for (Link link : links.values()) {
            link.lastContactAt = Math.min(now, link.lastContactAt + pausedMicros);
            link.nextProbeAt = now;
        }
    }

    boolean isInContact(long now, String name) {
        Link link = links.get(name);
        return link != null && !link.isLost && now - link.lastContactAt < options.periodMicros() * CONTACT_PERIODS;
    }

    /** Updates the state of all links; returns those that were lost or regained. */
    List<Link> changedLinks(long now) {
        List<Link> changed = new ArrayList<>();
        for (Link link : links.values()) {
            boolean isLost = now - link.lastContactAt > options.contactTimeoutMicros();
            if (isLost != link.isLost) {
                link.isLost = isLost;
                changed.add(link);
            }
        }
        return changed;
    }

    /** Discards probes that are too old to get a response. */
    void expireProbes(long now) {
        openProbes.values().removeIf(probe -> now - probe.sentAt > options.contactTimeoutMicros());
    }
}
