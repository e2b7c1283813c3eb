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
 * The contact of this process with the peers that it monitors, and the probes under way. Contact is a response to a
 * probe of this process and counts from when that was sent. A message that was received unsolicited is no contact,
 * since the opposite direction may be partitioned.
 */
final class MonitoredPeers {

    /** A peer without contact for fewer periods is in contact for certain. */
    private static final int CONTACT_PERIODS = 3;
    /** After so many periods without contact an unsolicited message leads to a probe at once. */
    private static final int SILENT_PERIODS = 2;
    /** Intervals between probes are shortened by up to this part, so that they spread. */
    private static final int JITTER_DIVISOR = 8;

    /** A monitored peer. */
    static final class Link {
        final String name;
        long nextProbeAt;
        /** When the last probe that was responded to was sent. */
        private long contactAt;

        private long lastProbeAt;
        boolean isLost;
        /** When the state of the link was last reported to others. */
        long lastReportAt;

        Link(String name, long now, long nextProbeAt) {
            this.name = name;
            contactAt = now;
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

    /** The link to a peer; null where it is not monitored. */
    Link find(String name) {
        return links.get(name);
    }

    /** Monitors these peers from now on. New ones count as in contact now, so that none is reported lost at once. */
    void monitor(long now, Set<String> names) {
        links.keySet().retainAll(names);
        for (String name : names) {
            links.computeIfAbsent(name, added -> {
                long nextProbeAt = now + random.nextLong(options.periodMicros());
                return new Link(added, now, nextProbeAt);
            });
        }
    }

    /** The peer has another incarnation: what was known of the one before does not count. */
    void resetContact(long now, String name) {
        Link link = links.get(name);
        if (link != null) {
            link.isLost = false;
            link.contactAt = now;
            link.nextProbeAt = now;
        }
    }

    /**
     * A probe is sent.
     *
     * @param name empty where only an address is known
     * @return the number of the probe
     */
    long startProbe(long now, String name) {
        lastProbeNumber++;
        openProbes.put(lastProbeNumber, new Probe(name, now));
        Link link = links.get(name);
        if (link != null) {
            boolean isUnanswered = link.lastProbeAt > link.contactAt;
            long interval = isUnanswered ? options.periodMicros() / 2 : options.periodMicros();
            link.nextProbeAt = now + interval - random.nextLong(1 + interval / JITTER_DIVISOR);
            link.lastProbeAt = now;
        }
        return lastProbeNumber;
    }

    /** A response was received; whether it is one to an open probe of this process. */
    boolean completeProbe(long number, String responder) {
        Probe probe = openProbes.remove(number);
        if (probe == null) {
            return false;
        }
        Link link = links.get(responder);
        if (link != null && (probe.name.isEmpty() || probe.name.equals(responder))) {
            link.contactAt = Math.max(link.contactAt, probe.sentAt);
        }
        return true;
    }

    /** Some message was received: a peer whose responses fail to arrive is probed at once. */
    void receivedUnsolicited(long now, String name) {
        Link link = links.get(name);
        if (link == null) {
            return;
        }
        boolean isSilent = now - link.contactAt > options.periodMicros() * SILENT_PERIODS;
        if (isSilent && now - link.lastProbeAt > options.tickMicros()) {
            link.nextProbeAt = Math.min(link.nextProbeAt, now);
        }
    }

    /** Time for which this process was paused counts against no peer, and all are probed at once. */
    void excludePause(long now, long pausedMicros) {
        for (Link link : links.values()) {
            link.contactAt = Math.min(now, link.contactAt + pausedMicros);
            link.nextProbeAt = now;
        }
    }

    boolean isInContact(long now, String name) {
        Link link = links.get(name);
        return link != null && !link.isLost && now - link.contactAt < options.periodMicros() * CONTACT_PERIODS;
    }

    /** Updates the state of all links; those that were lost or found again. */
    List<Link> changedLinks(long now) {
        List<Link> changed = new ArrayList<>();
        for (Link link : links.values()) {
            boolean isLost = now - link.contactAt > options.silenceMicros();
            if (isLost != link.isLost) {
                link.isLost = isLost;
                changed.add(link);
            }
        }
        return changed;
    }

    /** Forgets probes that nobody will respond to any more. */
    void expireProbes(long now) {
        openProbes.values().removeIf(probe -> now - probe.sentAt > options.silenceMicros());
    }
}
