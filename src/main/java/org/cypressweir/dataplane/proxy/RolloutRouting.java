package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cypressweir.common.util.Ids;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.configuration.RolloutState;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.cypressweir.controlplane.registry.VersionSamples;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * Divides the instances of a service by their versions while a new version is rolled out, and the requests between
 * them. Each group of instances is named like a service and has request handlers of its own. Keeps what became of the
 * requests to both groups, for the controllers, and stops sending to a new version that fails here at once.
 *
 * <p>Not thread-safe: used on the event loop alone.
 */
final class RolloutRouting {

    private static final String GROUP_SEPARATOR = "@";
    private static final int SHARE_BITS = 20;
    /** Of the last answers of a new version, so many are looked at here, and so many of them have to be bad. */
    private static final int RECENT_ANSWERS = 12;

    private static final int MAX_RECENT_BAD = 6;

    /** One service's last rollout, and what was seen of it here. */
    private static final class Entry {
        private Rollout rollout;
        private VersionSamples old = new VersionSamples();
        private VersionSamples target = new VersionSamples();
        /** The last answers of the new version, a bit each: 1 is bad. */
        private int recentAnswers;

        private boolean isSuspended() {
            return Integer.bitCount(recentAnswers) >= MAX_RECENT_BAD;
        }

        private String targetGroup() {
            return group(rollout.service(), rollout.targetVersion());
        }

        private String baseGroup() {
            return group(rollout.service(), rollout.baseVersion());
        }

        private static String group(String service, String version) {
            return version.isEmpty() ? service : service + GROUP_SEPARATOR + version;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();

    /** The rollouts of a configuration that comes into force. */
    void update(Configuration configuration) {
        for (Rollout rollout : Rollout.all(configuration)) {
            Entry entry = entries.computeIfAbsent(rollout.service(), service -> new Entry());
            if (entry.rollout == null || !entry.rollout.targetVersion().equals(rollout.targetVersion())) {
                entry.old = new VersionSamples();
                entry.target = new VersionSamples();
            }
            if (entry.rollout == null || entry.rollout.itemVersion() != rollout.itemVersion()) {
                entry.recentAnswers = 0;
            }
            entry.rollout = rollout;
        }
    }

    /** The group of an instance; null for one that gets no requests. */
    String groupOf(String service, String version) {
        Entry entry = entries.get(service);
        if (entry == null) {
            return service;
        }
        boolean isTarget = version.equals(entry.rollout.targetVersion());
        return switch (entry.rollout.state()) {
            case IN_PROGRESS -> isTarget ? entry.targetGroup() : entry.baseGroup();
            case REVERTED -> isTarget ? null : entry.baseGroup();
            case COMPLETED -> isTarget ? entry.targetGroup() : null;
        };
    }

    /**
     * Leaves as many instances of new versions as their share of the requests needs: each of them is to bear what it
     * will bear later. All proxies choose the same ones.
     */
    void limitTargets(Map<String, List<Endpoint>> endpointsByGroup) {
        for (Entry entry : entries.values()) {
            List<Endpoint> targets = endpointsByGroup.get(entry.targetGroup());
            double share = entry.rollout.shareOfTarget();
            if (entry.rollout.isInProgress() && targets != null && share < 1) {
                List<Endpoint> ordered = new ArrayList<>(targets);
                ordered.sort(Comparator.comparingLong(Endpoint::id));
                int count = (int) Math.ceil(share * ordered.size());
                endpointsByGroup.put(entry.targetGroup(), new ArrayList<>(ordered.subList(0, count)));
            }
        }
    }

    /** The group that a request goes to. */
    String choose(String service, String requestId, Predicate<String> hasEndpoints) {
        Entry entry = entries.get(service);
        if (entry == null) {
            return service;
        }
        boolean takesTarget =
                switch (entry.rollout.state()) {
                    case COMPLETED -> true;
                    case REVERTED -> false;
                    case IN_PROGRESS -> !entry.isSuspended()
                            && position(requestId) < entry.rollout.shareOfTarget()
                            && hasEndpoints.test(entry.targetGroup());
                };
        return takesTarget ? entry.targetGroup() : entry.baseGroup();
    }

    private static double position(String requestId) {
        long bits = Ids.of(GROUP_SEPARATOR + requestId) >>> SHARE_BITS & (1L << SHARE_BITS) - 1;
        return bits / (double) (1L << SHARE_BITS);
    }

    /** Whether any group that requests may go to has endpoints. */
    boolean isAvailable(String service, Predicate<String> hasEndpoints) {
        Entry entry = entries.get(service);
        if (entry == null) {
            return hasEndpoints.test(service);
        }
        boolean isTargetUsed = entry.rollout.state() == RolloutState.COMPLETED
                || entry.rollout.isInProgress() && entry.rollout.shareOfTarget() >= 1;
        return isTargetUsed && hasEndpoints.test(entry.targetGroup())
                || entry.rollout.state() != RolloutState.COMPLETED && hasEndpoints.test(entry.baseGroup());
    }

    /** Who is told of the attempts at a group. */
    AttemptObserver observer(String group) {
        int separator = group.indexOf(GROUP_SEPARATOR);
        String service = separator < 0 ? group : group.substring(0, separator);
        return (route, result, micros) -> {
            Entry entry = entries.get(service);
            if (entry != null && entry.rollout.isInProgress() && isAnswer(result)) {
                record(entry, group, route, result != Result.SERVED, micros);
            }
        };
    }

    /** Whether the result says anything of the instance. */
    private static boolean isAnswer(Result result) {
        return switch (result) {
            case SERVED, ERROR, TIMED_OUT, BROKEN -> true;
            case FULL, NO_CONNECTION, CANCELLED, NOT_SENT -> false;
        };
    }

    private static void record(Entry entry, String group, String route, boolean isBad, long micros) {
        if (group.equals(entry.targetGroup())) {
            entry.target.record(route, isBad, micros);
            int answers = entry.recentAnswers << 1 | (isBad ? 1 : 0);
            entry.recentAnswers = entry.isSuspended() ? entry.recentAnswers : answers & (1 << RECENT_ANSWERS) - 1;
        } else {
            entry.old.record(route, isBad, micros);
        }
    }

    /** What to report of the rollouts in progress. */
    List<RolloutReport> reports(ServiceHandlers handlers) {
        List<RolloutReport> reports = new ArrayList<>();
        for (Entry entry : entries.values()) {
            Rollout rollout = entry.rollout;
            if (rollout.isInProgress()) {
                reports.add(new RolloutReport(
                        rollout.service(),
                        rollout.targetVersion(),
                        rollout.itemVersion(),
                        handlers.inFlightCount(entry.baseGroup()),
                        entry.old,
                        entry.target));
            }
        }
        return reports;
    }
}
