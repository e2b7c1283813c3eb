package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.configuration.RolloutState;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.cypressweir.controlplane.registry.VersionSamples;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * Splits the instances of a service into groups by version while a new version is rolled out, and splits the requests
 * between the groups. The request handlers treat each group as a service of its own, under the group's name. Collects
 * the results of both groups for the controllers, and suspends a new version whose attempts fail here without waiting
 * for the controllers to revert it.
 *
 * <p>Not thread-safe: used on the event loop alone.
 */
final class RolloutRouting {

    private static final String GROUP_SEPARATOR = "@";
    /** How many of the latest results of a new version are kept to decide on its suspension. */
    private static final int RECENT_RESULTS = 12;

    /** How many of the {@link #RECENT_RESULTS} must be failures to suspend the new version. */
    private static final int FAILURES_TO_SUSPEND = 6;

    /** The latest rollout of one service, and the results of its attempts at this proxy. */
    private static final class ServiceRollout {
        private Rollout rollout;
        private VersionSamples baseSamples = new VersionSamples();
        private VersionSamples targetSamples = new VersionSamples();
        /** The latest results of the new version, one bit each: 1 is a failure. */
        private int recentResults;

        private boolean isSuspended() {
            return Integer.bitCount(recentResults) >= FAILURES_TO_SUSPEND;
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

    private final Map<String, ServiceRollout> rolloutsByService = new HashMap<>();

    /** Takes over the rollouts of a configuration that comes into force. */
    void update(Configuration configuration) {
        for (Rollout rollout : Rollout.all(configuration)) {
            ServiceRollout serviceRollout =
                    rolloutsByService.computeIfAbsent(rollout.service(), service -> new ServiceRollout());
            if (serviceRollout.rollout == null
                    || !serviceRollout.rollout.targetVersion().equals(rollout.targetVersion())) {
                serviceRollout.baseSamples = new VersionSamples();
                serviceRollout.targetSamples = new VersionSamples();
            }
            if (serviceRollout.rollout == null || serviceRollout.rollout.itemVersion() != rollout.itemVersion()) {
                serviceRollout.recentResults = 0;
            }
            serviceRollout.rollout = rollout;
        }
    }

    /** The group of an instance of this version; null if instances of this version get no requests. */
    String groupOf(String service, String version) {
        ServiceRollout serviceRollout = rolloutsByService.get(service);
        if (serviceRollout == null) {
            return service;
        }
        boolean isTarget = version.equals(serviceRollout.rollout.targetVersion());
        return switch (serviceRollout.rollout.state()) {
            case IN_PROGRESS -> isTarget ? serviceRollout.targetGroup() : serviceRollout.baseGroup();
            case REVERTED -> isTarget ? null : serviceRollout.baseGroup();
            case COMPLETED -> isTarget ? serviceRollout.targetGroup() : null;
        };
    }

    /**
     * Keeps only as many instances of each new version as its share of the requests needs, so that each of them already
     * gets the load that it will have after the rollout. All proxies keep the same instances.
     */
    void limitTargets(Map<String, List<Endpoint>> endpointsByGroup) {
        for (ServiceRollout serviceRollout : rolloutsByService.values()) {
            List<Endpoint> targets = endpointsByGroup.get(serviceRollout.targetGroup());
            double share = serviceRollout.rollout.shareOfTarget();
            if (serviceRollout.rollout.isInProgress() && targets != null && share < 1) {
                List<Endpoint> ordered = new ArrayList<>(targets);
                ordered.sort(Comparator.comparingLong(Endpoint::id));
                int count = (int) Math.ceil(share * ordered.size());
                endpointsByGroup.put(serviceRollout.targetGroup(), new ArrayList<>(ordered.subList(0, count)));
            }
        }
    }

    /** The group that a request goes to; requests are divided by their ids. */
    String selectGroup(String service, String requestId, Predicate<String> hasEndpoints) {
        ServiceRollout serviceRollout = rolloutsByService.get(service);
        if (serviceRollout == null) {
            return service;
        }
        boolean takesTarget =
                switch (serviceRollout.rollout.state()) {
                    case COMPLETED -> true;
                    case REVERTED -> false;
                    case IN_PROGRESS -> !serviceRollout.isSuspended()
                            && RequestPosition.VERSION.of(requestId) < serviceRollout.rollout.shareOfTarget()
                            && hasEndpoints.test(serviceRollout.targetGroup());
                };
        return takesTarget ? serviceRollout.targetGroup() : serviceRollout.baseGroup();
    }

    /** Whether a group that requests may go to has endpoints. */
    boolean isAvailable(String service, Predicate<String> hasEndpoints) {
        ServiceRollout serviceRollout = rolloutsByService.get(service);
        if (serviceRollout == null) {
            return hasEndpoints.test(service);
        }
        boolean isTargetUsed = serviceRollout.rollout.state() == RolloutState.COMPLETED
                || serviceRollout.rollout.isInProgress() && serviceRollout.rollout.shareOfTarget() >= 1;
        return isTargetUsed && hasEndpoints.test(serviceRollout.targetGroup())
                || serviceRollout.rollout.state() != RolloutState.COMPLETED
                        && hasEndpoints.test(serviceRollout.baseGroup());
    }

    /** The observer that records the attempts at a group. */
    AttemptObserver observer(String group) {
        int separator = group.indexOf(GROUP_SEPARATOR);
        String service = separator < 0 ? group : group.substring(0, separator);
        return (route, result, latencyMicros) -> {
            ServiceRollout serviceRollout = rolloutsByService.get(service);
            if (serviceRollout != null && serviceRollout.rollout.isInProgress() && concernsInstance(result)) {
                record(serviceRollout, group, route, result != Result.SERVED, latencyMicros);
            }
        };
    }

    /** Whether the result says anything about how well the instance works. */
    private static boolean concernsInstance(Result result) {
        return switch (result) {
            case SERVED, ERROR, TIMED_OUT, BROKEN -> true;
            case FULL, NO_CONNECTION, CANCELLED, NOT_SENT -> false;
        };
    }

    private static void record(
            ServiceRollout serviceRollout, String group, String route, boolean isFailure, long latencyMicros) {
        if (group.equals(serviceRollout.targetGroup())) {
            serviceRollout.targetSamples.record(route, isFailure, latencyMicros);
            int results = serviceRollout.recentResults << 1 | (isFailure ? 1 : 0);
            serviceRollout.recentResults =
                    serviceRollout.isSuspended() ? serviceRollout.recentResults : results & (1 << RECENT_RESULTS) - 1;
        } else {
            serviceRollout.baseSamples.record(route, isFailure, latencyMicros);
        }
    }

    /** One report for the controllers for each rollout in progress. */
    List<RolloutReport> reports(ServiceHandlers handlers) {
        List<RolloutReport> reports = new ArrayList<>();
        for (ServiceRollout serviceRollout : rolloutsByService.values()) {
            Rollout rollout = serviceRollout.rollout;
            if (rollout.isInProgress()) {
                reports.add(new RolloutReport(
                        rollout.service(),
                        rollout.targetVersion(),
                        rollout.itemVersion(),
                        handlers.inFlightCount(serviceRollout.baseGroup()),
                        serviceRollout.baseSamples,
                        serviceRollout.targetSamples));
            }
        }
        return reports;
    }
}
